// A parser of HTTP messages that refuses header and trailer fields which
// Beast's containers cannot hold; Beast throws at them.
#pragma once

#include <cstddef>
#include <string_view>

#include <boost/beast/http/parser.hpp>

#include "framework/net/http_types.h"

namespace burdocklock::net {

/// Fails with `http::error::header_limit` at a field whose name or value is
/// longer than `kMaxFieldBytes`, wherever in the message it is.
template <bool IsRequest, class Body>
class checked_parser : public http::parser<IsRequest, Body> {
 private:
  void on_field_impl(http::field name,
                     beast::string_view name_string,
                     beast::string_view value,
                     beast::error_code& ec) override {
    if (name_string.size() > kMaxFieldBytes || value.size() > kMaxFieldBytes) {
      ec = http::error::header_limit;
      return;
    }
    this->get().insert(name, name_string, value);
  }
};

}  // namespace burdocklock::net
