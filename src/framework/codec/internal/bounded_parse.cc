// See the header.
#include "framework/codec/bounded_parse.h"

#include <exception>
#include <stdexcept>

namespace burdocklock {

using nlohmann::json;

namespace {

// Builds a value, and ends the parse by an exception beyond the bound.
class bounded_builder : public nlohmann::detail::json_sax_dom_parser<json> {
 public:
  using base = nlohmann::detail::json_sax_dom_parser<json>;

  explicit bounded_builder(json& root) : base(root) {}

  bool start_object(std::size_t size) {
    Enter();
    return base::start_object(size);
  }
  bool end_object() {
    --depth_;
    return base::end_object();
  }
  bool start_array(std::size_t size) {
    Enter();
    return base::start_array(size);
  }
  bool end_array() {
    --depth_;
    return base::end_array();
  }

 private:
  void Enter() {
    if (++depth_ > kMaxNesting) {
      throw std::out_of_range("nests too deeply");
    }
  }

  std::size_t depth_ = 0;
};

json Parse(std::string_view bytes, json::input_format_t format) {
  json parsed;
  bounded_builder builder(parsed);
  json::sax_parse(bytes, &builder, format);
  return parsed;
}

}  // namespace

json ParseText(std::string_view text) {
  return Parse(text, json::input_format_t::json);
}

json ParseTextOrDiscard(std::string_view text) {
  // nlohmann::json reports malformed input by exception only.
  try {
    return ParseText(text);
  } catch (const std::exception&) {
    return json(json::value_t::discarded);
  }
}

json ParseCbor(std::string_view bytes) {
  return Parse(bytes, json::input_format_t::cbor);
}

}  // namespace burdocklock
