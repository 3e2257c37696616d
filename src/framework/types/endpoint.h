// An IP address and port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdocklock {

/// When listening, port 0 selects an ephemeral port.
struct endpoint {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;

  friend bool operator==(const endpoint&, const endpoint&) = default;
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Formats as "address:port", with IPv6 addresses in brackets.
std::string ToString(const endpoint& endpoint);
/// Parses "address:port" with a numeric IPv4 or bracketed IPv6 address; nullopt
/// for anything else.
std::optional<endpoint> ParseEndpoint(std::string_view text);

}  // namespace burdocklock
