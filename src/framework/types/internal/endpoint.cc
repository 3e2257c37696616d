// Parses and formats addresses of the form ip:port. Brackets around an IPv6
// address are optional when parsing and always added when formatting.
#include "framework/types/endpoint.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace burdocklock {

namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, port);
  if (text.empty() || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return port;
}

std::string_view StripBrackets(std::string_view address) {
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    return address.substr(1, address.size() - 2);
  }
  return address;
}

}  // namespace

std::string ToString(const endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  return (is_v6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" +
         std::to_string(endpoint.port);
}

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  const std::string address(StripBrackets(text.substr(0, colon)));
  boost::system::error_code ec;
  boost::asio::ip::make_address(address, ec);
  if (!port || ec) {
    return std::nullopt;
  }
  return endpoint{.address = address, .port = *port};
}

}  // namespace burdocklock
