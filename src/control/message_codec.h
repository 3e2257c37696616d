// CBOR encoding of control messages.
#pragma once

#include <string>

#include "control/types/message.h"
#include "framework/types/error.h"

namespace burdocklock::control {

std::string Encode(const message& message);
/// Fails if the bytes are not a message. Unknown trailing elements are ignored,
/// and a message of an unknown kind is not an error.
result<message> Decode(const std::string& bytes);

}  // namespace burdocklock::control
