// Errors as values: what failed, in which step, against which peer.
#pragma once

#include <string>

#include <boost/outcome/result.hpp>

namespace burdocklock {

/// The kind of a failure, independent of where it arose.
enum class error_code {
  kInvalidArgument,
  kUnreadable,
  kMalformed,
  kTimeout,
  kConnectionFailed,
  kConnectionClosed,
  kTooLarge,
  kUnauthorised,
  kCancelled,
  kInternal,
};

/// Name of `code` as it appears in logs.
constexpr const char* ToString(error_code code) {
  switch (code) {
    case error_code::kInvalidArgument:
      return "invalid_argument";
    case error_code::kUnreadable:
      return "unreadable";
    case error_code::kMalformed:
      return "malformed";
    case error_code::kTimeout:
      return "timeout";
    case error_code::kConnectionFailed:
      return "connection_failed";
    case error_code::kConnectionClosed:
      return "connection_closed";
    case error_code::kTooLarge:
      return "too_large";
    case error_code::kUnauthorised:
      return "unauthorised";
    case error_code::kCancelled:
      return "cancelled";
    case error_code::kInternal:
      return "internal";
  }
  return "internal";
}

/// A failure with its context.
struct error {
  error_code code = error_code::kInternal;
  /// What was being done, such as "connect" or "read settings".
  std::string step;
  /// The file, address or process on the other side; empty if there is none.
  std::string peer;
  std::string detail;

  [[nodiscard]] std::string Message() const {
    std::string text = step;
    if (!peer.empty()) {
      text += " " + peer;
    }
    return text + ": " + ToString(code) + ": " + detail;
  }
};

template <typename T>
using result = BOOST_OUTCOME_V2_NAMESPACE::
    basic_result<T, error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

}  // namespace burdocklock
