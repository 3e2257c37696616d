// An IP address and port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdocklock {

/// Port 0, where it is listened on, asks the system for a free port.
struct endpoint {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  friend bool operator==(const endpoint&, const endpoint&) = default;
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// "address:port".
std::string ToString(const endpoint& endpoint);
/// Reads "address:port" with a numeric IPv4 or bracketed IPv6 address; nullopt
/// for anything else.
std::optional<endpoint> ParseEndpoint(std::string_view text);

}  // namespace burdocklock
