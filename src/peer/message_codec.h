// CBOR encoding of the messages between daemons.
#pragma once

#include <string>
#include <string_view>

#include "fleet/types/message.h"
#include "framework/codec/entry_list.h"
#include "framework/types/error.h"

namespace burdocklock::peer {

/// Sent with each message; messages of another version are rejected.
inline constexpr int kProtocolVersion = 1;

std::string Encode(const fleet::message& message);
/// Unknown members are ignored; missing or invalid ones are an error, but
/// announcements that are malformed or absurd are left out.
result<fleet::message> Decode(std::string_view bytes, dropped_entries& dropped);
/// As above, for callers that need not know of entries left out.
result<fleet::message> Decode(std::string_view bytes);

}  // namespace burdocklock::peer
