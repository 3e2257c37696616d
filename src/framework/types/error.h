// Error values: what failed, in which step, and with which peer.
#pragma once

#include <string>

#include <boost/outcome/result.hpp>

namespace burdocklock {

/// Failure category, independent of the component that reports it.
enum class error_code {
  kInvalidArgument,
  kUnreadable,
  kMalformed,
  kTimeout,
  kConnectionFailed,
  kConnectionClosed,
  /// This process has no file descriptors, ports or memory left for it.
  kNoResources,
  /// The disk takes no more bytes.
  kDiskFull,
  kTooLarge,
  kUnauthorised,
  kCancelled,
  kInternal,
};

/// The name of `code` in log records.
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
    case error_code::kNoResources:
      return "no_resources";
    case error_code::kDiskFull:
      return "disk_full";
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

struct error {
  error_code code = error_code::kInternal;
  /// The failed operation, such as "connect" or "read settings".
  std::string step;
  /// The file, address or process involved; empty if there is none.
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
