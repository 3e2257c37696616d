// See the header.
#include "gateway/call_parser.h"

#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

namespace burdocklock::gateway {

using refusals::refusal_reason;

namespace {

using nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kServices = "/services/";
constexpr std::size_t kBytesPerToken = 4;

rejected_call Reject(const config::customer& customer,
                     refusal_reason reason,
                     std::string detail) {
  return {
      .customer = customer.id, .reason = reason, .detail = std::move(detail)};
}

std::string CheckGeneration(const json& document, bool chat) {
  if (!document.is_object()) {
    return "the body must be a JSON object";
  }
  const auto model = document.find("model");
  if (model == document.end() || !model->is_string()) {
    return "\"model\" must be a string";
  }
  const auto stream = document.find("stream");
  if (stream != document.end() && !stream->is_boolean()) {
    return "\"stream\" must be true or false";
  }
  if (chat &&
      (!document.contains("messages") || !document["messages"].is_array())) {
    return "\"messages\" must be an array";
  }
  if (!chat && !document.contains("prompt")) {
    return "\"prompt\" is required";
  }
  return {};
}

call_result ParseGeneration(const call_input& input,
                            const config::customer& customer,
                            const config::sheet_index& sheet) {
  if (input.method != "POST") {
    return Reject(customer, refusal_reason::kMalformedRequest,
                  "the method must be POST");
  }
  const json document =
      json::parse(input.body, nullptr, /*allow_exceptions=*/false);
  const bool chat = input.path == "/v1/chat/completions";
  if (std::string problem = CheckGeneration(document, chat); !problem.empty()) {
    return Reject(customer, refusal_reason::kMalformedRequest,
                  std::move(problem));
  }
  const pool_id model(document["model"].get<std::string>());
  if (!sheet.HasModel(model)) {
    return Reject(customer, refusal_reason::kUnknownPool, model.value());
  }
  if (!config::sheet_index::MayUseModel(customer, model)) {
    return Reject(customer, refusal_reason::kPoolNotAllowed, model.value());
  }
  const bool streamed = document.value("stream", false);
  return parsed_call{
      .spec = {.customer = customer.id,
               .pool = model,
               .kind = streamed ? routing::call_kind::kStreamedGeneration
                                : routing::call_kind::kWholeGeneration,
               .repeatable = true,
               .prompt_tokens = static_cast<std::uint32_t>(input.body.size() /
                                                           kBytesPerToken)},
      .target_path = std::string(input.path)};
}

call_result ParseServiceCall(const call_input& input,
                             const config::customer& customer,
                             const config::sheet_index& sheet) {
  const std::string_view rest = input.path.substr(kServices.size());
  const std::size_t name_end = rest.find_first_of("/?");
  const pool_id name{std::string(rest.substr(0, name_end))};
  std::string path(name_end == std::string_view::npos ? std::string_view()
                                                      : rest.substr(name_end));
  if (!path.starts_with('/')) {
    path.insert(0, "/");
  }
  if (!IsCanonicalPath(path)) {
    return Reject(customer, refusal_reason::kMalformedRequest,
                  "the path is not in canonical form");
  }
  const config::service* service = sheet.FindService(name);
  if (service == nullptr) {
    return Reject(customer, refusal_reason::kUnknownPool, name.value());
  }
  if (!config::sheet_index::MayUseService(customer, name)) {
    return Reject(customer, refusal_reason::kPoolNotAllowed, name.value());
  }
  const bool repeatable =
      !config::IsNonRepeatable(*service, input.method, path);
  return parsed_call{.spec = {.customer = customer.id,
                              .pool = name,
                              .kind = routing::call_kind::kServiceCall,
                              .repeatable = repeatable},
                     .target_path = std::move(path)};
}

bool IsUnreserved(char c) {
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z') || c == '-' || c == '.' || c == '_' || c == '~';
}

int HexValue(char c) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  const std::size_t at = kDigits.find(c);
  return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

// Percent escapes must be needed and in upper case (RFC 3986, 6.2.2).
bool HasCanonicalEscapes(std::string_view path) {
  for (std::size_t at = path.find('%'); at != std::string_view::npos;
       at = path.find('%', at + 1)) {
    if (at + 2 >= path.size()) {
      return false;
    }
    const int high = HexValue(path[at + 1]);
    const int low = HexValue(path[at + 2]);
    if (high < 0 || low < 0) {
      return false;
    }
    const auto decoded = static_cast<char>(high * 16 + low);
    if (IsUnreserved(decoded) || decoded == '/' || decoded == '\\') {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string_view BearerToken(std::string_view authorization) {
  if (!boost::algorithm::istarts_with(authorization, kBearer)) {
    return {};
  }
  return authorization.substr(kBearer.size());
}

bool IsCanonicalPath(std::string_view path) {
  path = path.substr(0, path.find('?'));
  if (path.find("//") != std::string_view::npos ||
      path.find('\\') != std::string_view::npos ||
      path.find('#') != std::string_view::npos ||
      path.find(';') != std::string_view::npos) {
    return false;
  }
  if (path.find("/./") != std::string_view::npos ||
      path.find("/../") != std::string_view::npos || path.ends_with("/.") ||
      path.ends_with("/..")) {
    return false;
  }
  return HasCanonicalEscapes(path);
}

call_result ParseCall(const call_input& input,
                      const config::sheet_index& sheet) {
  const std::string_view key = BearerToken(input.authorization);
  const config::customer* customer =
      key.empty() ? nullptr : sheet.FindByKey(key);
  if (customer == nullptr) {
    return rejected_call{
        .customer = {}, .reason = refusal_reason::kUnknownKey, .detail = {}};
  }
  if (input.path == "/v1/chat/completions" || input.path == "/v1/completions") {
    return ParseGeneration(input, *customer, sheet);
  }
  if (input.path.starts_with(kServices)) {
    return ParseServiceCall(input, *customer, sheet);
  }
  return Reject(*customer, refusal_reason::kUnknownPool,
                "there is nothing at this path");
}

}  // namespace burdocklock::gateway
