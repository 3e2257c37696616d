// Builds the requests of the load generator, reads streamed and unstreamed
// responses, and checks that they belong to the call.
#include "load/caller.h"

#include <array>
#include <chrono>

#include <nlohmann/json.hpp>

namespace burdocklock::load {

namespace http = net::http;
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr unsigned kFirstErrorStatus = 400;
constexpr std::uint32_t kMaxBodyBytes = 64 * 1024 * 1024;

net::http_request BuildCompletionRequest(const load_options& options,
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

net::http_request BuildServiceRequest(const load_options& options,
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
      plan.type == call_type::kStream || plan.type == call_type::kUnstreamed;
  net::http_request request = generation ? BuildCompletionRequest(options, plan)
                                         : BuildServiceRequest(options, plan);
  request.set(http::field::host, ToString(plan.host));
  request.set(http::field::authorization, "Bearer " + plan.key);
  return request;
}

void ReadProblem(const std::string& body, call_record& record) {
  const json problem = json::parse(body, nullptr, false);
  if (!problem.is_object() || !problem.contains("refusal_id")) {
    return;
  }
  record.refusal_id = problem.value("refusal_id", "");
  record.reason = problem.value("reason", "");
  record.run = problem.value("run", "");
}

// Parses the events of a stream and checks that each token belongs to this
// call.
class stream_reader {
 public:
  stream_reader(const call_plan& plan, call_record& record, time_point start)
      : plan_(plan), record_(record), start_(start) {}

  // Returns false once no more events are to be read.
  bool Feed(std::string_view bytes) {
    pending_.append(bytes);
    std::size_t end = pending_.find("\n\n");
    bool read_more = true;
    std::size_t from = 0;
    while (read_more && end != std::string::npos) {
      read_more =
          HandleEvent(std::string_view(pending_).substr(from, end - from));
      from = end + 2;
      end = pending_.find("\n\n", from);
    }
    pending_.erase(0, from);
    return read_more;
  }

 private:
  bool HandleEvent(std::string_view event) {
    if (event.starts_with("event: error")) {
      record_.outcome = call_outcome::kCut;
      ReadProblem(std::string(event.substr(event.find('{'))), record_);
      return false;
    }
    if (event == "data: [DONE]") {
      record_.outcome = call_outcome::kAnswered;
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
      record_.first_token = now - start_;
    } else {
      record_.token_intervals.push_back(now - last_token_time_);
    }
    last_token_time_ = now;
    ++record_.tokens;
    if (event.find("\"" + plan_.nonce + " \"") == std::string_view::npos) {
      record_.outcome = call_outcome::kWrongAnswer;
      return false;
    }
    if (plan_.disconnect_after_tokens > 0 &&
        record_.tokens >= plan_.disconnect_after_tokens) {
      record_.outcome = call_outcome::kDisconnected;
      return false;
    }
    return true;
  }

  const call_plan& plan_;
  call_record& record_;
  time_point start_;
  time_point last_token_time_{};
  std::string pending_;
};

void ReadStream(net::http_client& client,
                const call_plan& plan,
                time_point start,
                call_record& record) {
  record.outcome = call_outcome::kCut;
  stream_reader reader(plan, record, start);
  std::array<char, 32 * 1024> buffer;
  bool read_more = true;
  while (read_more && !client.AtEnd()) {
    const auto read = client.ReadSome(buffer.data(), buffer.size());
    if (!read) {
      return;
    }
    read_more = reader.Feed(std::string_view(buffer.data(), read.value()));
  }
  if (record.outcome != call_outcome::kAnswered) {
    client.Close();
    return;
  }
  while (!client.AtEnd()) {
    if (!client.ReadSome(buffer.data(), buffer.size())) {
      return;
    }
  }
}

result<std::string> ReadBody(net::http_client& client) {
  std::string body;
  std::array<char, 32 * 1024> buffer;
  while (!client.AtEnd()) {
    const auto read = client.ReadSome(buffer.data(), buffer.size());
    if (!read) {
      return read.error();
    }
    body.append(buffer.data(), read.value());
  }
  return body;
}

void CheckResponseBody(const std::string& body,
                       const call_plan& plan,
                       call_record& record) {
  record.outcome = body.find(plan.nonce) == std::string::npos
                       ? call_outcome::kWrongAnswer
                       : call_outcome::kAnswered;
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
  const time_point start = steady_clock::now();
  client.ExpiresAfter(options.call_timeout);
  if (!connected && !client.Connect(plan.host)) {
    return record;
  }
  net::http_request request = BuildRequest(options, plan);
  if (!client.Send(request)) {
    return record;
  }
  const auto head = client.ReadHead(kMaxBodyBytes);
  if (!head) {
    return record;
  }
  record.status = head.value().status;
  record.request_id = head.value().fields["X-Request-Id"];
  if (record.status < kFirstErrorStatus && plan.type == call_type::kStream) {
    ReadStream(client, plan, start, record);
    record.total = steady_clock::now() - start;
    return record;
  }
  const result<std::string> body = ReadBody(client);
  record.total = steady_clock::now() - start;
  record.first_token = record.total;
  if (!body) {
    return record;
  }
  if (record.status >= kFirstErrorStatus) {
    record.outcome = call_outcome::kRefused;
    ReadProblem(body.value(), record);
  } else {
    CheckResponseBody(body.value(), plan, record);
  }
  return record;
}

}  // namespace burdocklock::load
