// CBOR encoding of control messages.
#pragma once

#include <string>

#include "control/types/message.h"
#include "framework/codec/entry_list.h"
#include "framework/types/error.h"

namespace burdocklock::control {

std::string Encode(const message& message);
/// Fails if the bytes are not a message. Unknown trailing elements are ignored,
/// and a message of an unknown kind is not an error. Entries of lists that are
/// malformed or absurd are left out.
result<message> Decode(const std::string& bytes, dropped_entries& dropped);
/// As above, for callers that need not know of entries left out.
result<message> Decode(const std::string& bytes);

}  // namespace burdocklock::control
