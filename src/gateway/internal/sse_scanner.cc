// See the header. Format: https://html.spec.whatwg.org/multipage/
// server-sent-events.html
#include "gateway/sse_scanner.h"

#include <nlohmann/json.hpp>

#include "gateway/internal/event_text.h"

namespace burdocklock::gateway {

namespace {

using nlohmann::json;

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kLeadingId = "{\"id\":\"";

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
    text.remove_suffix(1);
  }
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  return text;
}

// Joins the data lines of an event; does not copy if there is only one.
std::string_view EventData(std::string_view event, std::string& storage) {
  std::string_view data;
  std::size_t lines = 0;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kDataPrefix)) {
      continue;
    }
    const std::string_view value = Trim(line.substr(kDataPrefix.size()));
    if (lines == 0) {
      data = value;
    } else {
      storage = std::string(data) + "\n" + std::string(value);
      data = storage;
    }
    ++lines;
  }
  return data;
}

std::optional<routing::usage> ParseUsage(const json& document) {
  const auto found = document.find("usage");
  if (found == document.end() || !found->is_object()) {
    return std::nullopt;
  }
  const auto count = [&](const char* key) {
    const auto member = found->find(key);
    return member != found->end() && member->is_number_unsigned()
               ? member->get<std::uint32_t>()
               : 0U;
  };
  return routing::usage{.prompt_tokens = count("prompt_tokens"),
                        .output_tokens = count("completion_tokens")};
}

std::string_view FindResponseId(const json& document) {
  const auto found = document.find("id");
  if (found == document.end() || !found->is_string()) {
    return {};
  }
  return found->get_ref<const std::string&>();
}

bool HasOutput(std::string_view data) {
  return data.find("\"content\":") != std::string_view::npos ||
         data.find("\"text\":") != std::string_view::npos ||
         data.find("\"tool_calls\":") != std::string_view::npos;
}

}  // namespace

bool MatchesRequest(std::string_view response_id,
                    std::string_view request_name) {
  const std::size_t at = response_id.find(request_name);
  if (at == std::string_view::npos || request_name.empty()) {
    return false;
  }
  const std::size_t end = at + request_name.size();
  return (at == 0 || response_id[at - 1] == '-') &&
         (end == response_id.size() || response_id[end] == '-');
}

response_summary SummariseResponse(std::string_view body,
                                   std::string_view request_name) {
  const json document = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return {};
  }
  return {
      .matches_request = MatchesRequest(FindResponseId(document), request_name),
      .reported_usage = ParseUsage(document)};
}

sse_scanner::sse_scanner(std::string request_name)
    : request_name_(std::move(request_name)) {}

std::string_view sse_scanner::Feed(std::string_view bytes) {
  pending_.erase(0, released_);
  released_ = 0;
  new_tokens_ = 0;
  if (state_ != stream_state::kOpen) {
    return {};
  }
  // The end of an event may span the old and the new bytes.
  std::size_t search_from = pending_.size() < 2 ? 0 : pending_.size() - 2;
  pending_.append(bytes);
  while (state_ == stream_state::kOpen) {
    const std::size_t end = FindEventEnd(pending_, search_from);
    if (end == std::string_view::npos) {
      break;
    }
    CheckEvent(std::string_view(pending_).substr(released_, end - released_));
    if (state_ == stream_state::kOpen || state_ == stream_state::kDone) {
      released_ = end;
    }
    search_from = end;
  }
  if (pending_.size() - released_ > kMaxEventBytes) {
    state_ = stream_state::kWrongAnswer;
  }
  return std::string_view(pending_).substr(0, released_);
}

void sse_scanner::CheckEvent(std::string_view event) {
  std::string storage;
  const std::string_view data = EventData(event, storage);
  if (data.empty()) {
    return;
  }
  if (data == kDone) {
    state_ = stream_state::kDone;
    return;
  }
  const bool has_usage = data.find("\"usage\":{") != std::string_view::npos;
  if (data.starts_with(kLeadingId) && !has_usage) {
    const std::string_view rest = data.substr(kLeadingId.size());
    if (MatchesRequest(rest.substr(0, rest.find('"')), request_name_)) {
      new_tokens_ += HasOutput(data) ? 1 : 0;
      return;
    }
  }
  CheckDocument(data);
}

void sse_scanner::CheckDocument(std::string_view data) {
  const json document = json::parse(data, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    state_ = stream_state::kWrongAnswer;
    return;
  }
  if (!MatchesRequest(FindResponseId(document), request_name_)) {
    state_ = document.contains("error") && !document.contains("id")
                 ? stream_state::kTargetError
                 : stream_state::kWrongAnswer;
    return;
  }
  new_tokens_ += HasOutput(data) ? 1 : 0;
  if (auto usage = ParseUsage(document)) {
    usage_ = usage;
  }
}

}  // namespace burdocklock::gateway
