#include "config/internal/toml_file.h"

#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace burdocklock::config {

result<std::string> ReadFile(const std::string& file, const std::string& step) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (in) {
    text << in.rdbuf();
  }
  if (!in || text.fail()) {
    return error{
        .code = error_code::kUnreadable,
        .step = step,
        .peer = file,
        .detail = std::generic_category().message(errno != 0 ? errno : EIO)};
  }
  return text.str();
}

result<toml::table> ParseToml(std::string_view text,
                              const std::string& file,
                              const std::string& step) {
  // With exceptions enabled, toml++ reports syntax errors only by throwing.
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& syntax_error) {
    return error{.code = error_code::kMalformed,
                 .step = step,
                 .peer = file,
                 .detail = "line " +
                           std::to_string(syntax_error.source().begin.line) +
                           ": " + std::string(syntax_error.description())};
  }
}

}  // namespace burdocklock::config
