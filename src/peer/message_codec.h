// CBOR encoding of the messages between daemons.
#pragma once

#include <string>
#include <string_view>

#include "fleet/types/message.h"
#include "framework/types/error.h"

namespace burdocklock::peer {

/// Sent with each message; messages of another version are rejected.
inline constexpr int kProtocolVersion = 1;

std::string Encode(const fleet::message& message);
/// Unknown members are ignored; missing or invalid ones are an error.
result<fleet::message> Decode(std::string_view bytes);

}  // namespace burdocklock::peer
