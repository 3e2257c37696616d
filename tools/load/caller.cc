#include "load/caller.h"

#include <array>
#include <chrono>

#include <nlohmann/json.hpp>

namespace burdocklock::load {

namespace http = net::http;
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr unsigned kFirstError = 400;
constexpr std::uint32_t kMaxBody = 64 * 1024 * 1024;

net::http_request BuildGeneration(const load_options& options,
                                  const call_plan& plan) {
  const json body = {
      {"model", options.model},
      {"stream", plan.type == call_type::kStream},
      {"max_tokens", options.max_tokens},
      {"messages",
       {{{"role", "system"},
         {"content", std::string(options.prompt_bytes, 'x')}},
        {{"role", "user"}, {"content", plan.nonce + " please"}}}}};
  net::http_request request(http::verb::post, "/v1/chat/completions", 11);
  request.set(http::field::content_type, "application/json");
  request.body() = body.dump();
  return request;
}

net::http_request BuildServiceCall(const load_options& options,
                                   const call_plan& plan) {
  const bool order = plan.type == call_type::kOrder;
  net::http_request request(
      order ? http::verb::post : http::verb::get,
      "/services/" + options.service +
          (order ? "/orders" : "/certificates/" + plan.nonce),
      11);
  if (order) {
    request.set("Idempotency-Key", plan.nonce);
    request.body() = json{{"order", plan.nonce}}.dump();
  }
  return request;
}

net::http_request BuildRequest(const load_options& options,
                               const call_plan& plan) {
  const bool generation =
      plan.type == call_type::kStream || plan.type == call_type::kWhole;
  net::http_request request = generation ? BuildGeneration(options, plan)
                                         : BuildServiceCall(options, plan);
  request.set(http::field::host, ToString(plan.host));
  request.set(http::field::authorization, "Bearer " + plan.key);
  return request;
}

void ReadProblem(const std::string& body, call_record& record) {
  const json problem = json::parse(body, nullptr, false);
  if (!problem.is_object() || !problem.contains("refusal_id")) {
    return;
  }
  record.refusal_name = problem.value("refusal_id", "");
  record.reason = problem.value("reason", "");
  record.run = problem.value("run", "");
}

// Reads events of a stream and checks that each token is the caller's own.
class stream_reader {
 public:
  stream_reader(const call_plan& plan, call_record& record, time_point begin)
      : plan_(plan), record_(record), begin_(begin) {}

  // False once the stream is over for this caller.
  bool Feed(std::string_view bytes) {
    pending_.append(bytes);
    std::size_t end = pending_.find("\n\n");
    bool go_on = true;
    std::size_t from = 0;
    while (go_on && end != std::string::npos) {
      go_on = HandleEvent(std::string_view(pending_).substr(from, end - from));
      from = end + 2;
      end = pending_.find("\n\n", from);
    }
    pending_.erase(0, from);
    return go_on;
  }

 private:
  bool HandleEvent(std::string_view event) {
    if (event.starts_with("event: error")) {
      record_.outcome = seen_outcome::kCut;
      ReadProblem(std::string(event.substr(event.find('{'))), record_);
      return false;
    }
    if (event == "data: [DONE]") {
      record_.outcome = seen_outcome::kAnswered;
      return false;
    }
    if (event.find("\"content\":") == std::string_view::npos) {
      return true;
    }
    return HandleToken(event);
  }

  bool HandleToken(std::string_view event) {
    const time_point now = steady_clock::now();
    if (record_.tokens == 0) {
      record_.first_token = now - begin_;
    } else {
      record_.gaps.push_back(now - last_);
    }
    last_ = now;
    ++record_.tokens;
    if (event.find("\"" + plan_.nonce + " \"") == std::string_view::npos) {
      record_.outcome = seen_outcome::kWrongAnswer;
      return false;
    }
    if (plan_.leave_after > 0 && record_.tokens >= plan_.leave_after) {
      record_.outcome = seen_outcome::kLeft;
      return false;
    }
    return true;
  }

  const call_plan& plan_;
  call_record& record_;
  time_point begin_;
  time_point last_{};
  std::string pending_;
};

void ReadStream(net::http_client& client,
                const call_plan& plan,
                time_point begin,
                call_record& record) {
  record.outcome = seen_outcome::kCut;
  stream_reader reader(plan, record, begin);
  std::array<char, 32 * 1024> piece;
  bool go_on = true;
  while (go_on && !client.AtEnd()) {
    const auto read = client.ReadSome(piece.data(), piece.size());
    if (!read) {
      return;
    }
    go_on = reader.Feed(std::string_view(piece.data(), read.value()));
  }
  if (record.outcome != seen_outcome::kAnswered) {
    client.Close();
    return;
  }
  while (!client.AtEnd()) {
    if (!client.ReadSome(piece.data(), piece.size())) {
      return;
    }
  }
}

result<std::string> ReadBody(net::http_client& client) {
  std::string body;
  std::array<char, 32 * 1024> piece;
  while (!client.AtEnd()) {
    const auto read = client.ReadSome(piece.data(), piece.size());
    if (!read) {
      return read.error();
    }
    body.append(piece.data(), read.value());
  }
  return body;
}

void CheckWhole(const std::string& body,
                const call_plan& plan,
                call_record& record) {
  record.outcome = body.find(plan.nonce) == std::string::npos
                       ? seen_outcome::kWrongAnswer
                       : seen_outcome::kAnswered;
}

}  // namespace

call_record MakeCall(boost::asio::io_context&,
                     const load_options& options,
                     const call_plan& plan,
                     net::http_client& client,
                     bool connected) {
  call_record record{
      .customer = plan.customer, .host = plan.host, .type = plan.type};
  if (plan.type == call_type::kOrder) {
    record.order = plan.nonce;
  }
  const time_point begin = steady_clock::now();
  client.ExpiresAfter(options.call_timeout);
  if (!connected && !client.Connect(plan.host)) {
    return record;
  }
  net::http_request request = BuildRequest(options, plan);
  if (!client.Send(request)) {
    return record;
  }
  const auto head = client.ReadHead(kMaxBody);
  if (!head) {
    return record;
  }
  record.status = head.value().status;
  record.request_name = head.value().fields["X-Request-Id"];
  if (record.status < kFirstError && plan.type == call_type::kStream) {
    ReadStream(client, plan, begin, record);
    record.total = steady_clock::now() - begin;
    return record;
  }
  const result<std::string> body = ReadBody(client);
  record.total = steady_clock::now() - begin;
  record.first_token = record.total;
  if (!body) {
    return record;
  }
  if (record.status >= kFirstError) {
    record.outcome = seen_outcome::kRefused;
    ReadProblem(body.value(), record);
  } else {
    CheckWhole(body.value(), plan, record);
  }
  return record;
}

}  // namespace burdocklock::load
