// Serves completion requests with simulated tokens and injects faults. Also
// serves the endpoints for statistics and fault control.
#include "engine/engine_handler.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/write_buffers.h"

namespace burdocklock::engine {

namespace http = net::http;
using nlohmann::json;
using nlohmann::ordered_json;
using stand_in::fault;

namespace {

constexpr char kRequestIdField[] = "X-Request-Id";
constexpr char kJson[] = "application/json";
constexpr std::uint32_t kMaxTokens = 100'000;

net::keep_alive Reply(net::http_connection& connection,
                      const net::http_request& request,
                      http::status status,
                      std::string body,
                      bool admitted = true) {
  net::http_response response(status, request.version());
  response.set(http::field::content_type, kJson);
  response.set(kRequestIdField, request[kRequestIdField]);
  if (!admitted) {
    response.set("X-Admitted", "no");
  }
  response.keep_alive(request.keep_alive());
  response.body() = std::move(body);
  return connection.Write(response) && request.keep_alive()
             ? net::keep_alive::kYes
             : net::keep_alive::kNo;
}

std::string LastMessage(const json& body) {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"];
  }
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return {};
  }
  const json& last = messages->back();
  return last.is_object() && last.contains("content") &&
                 last["content"].is_string()
             ? last["content"].get<std::string>()
             : std::string();
}

std::string FirstWord(const std::string& text) {
  std::istringstream in(text);
  std::string word;
  in >> word;
  return word.empty() ? "ok" : word;
}

ordered_json MakeUsage(std::size_t prompt_bytes, std::uint32_t tokens) {
  const auto prompt =
      static_cast<std::uint32_t>(prompt_bytes / prefix_cache::kBytesPerToken);
  return {{"prompt_tokens", prompt},
          {"completion_tokens", tokens},
          {"total_tokens", prompt + tokens}};
}

std::string MakeTextEvent(const std::string& request_id,
                          bool chat,
                          const std::string& text) {
  const std::string id = (chat ? "chatcmpl-" : "cmpl-") + request_id;
  ordered_json event = {
      {"id", id},
      {"object", chat ? "chat.completion.chunk" : "text_completion"}};
  if (chat) {
    event["choices"] = {{{"index", 0}, {"delta", {{"content", text}}}}};
  } else {
    event["choices"] = {{{"index", 0}, {"text", text}}};
  }
  return "data: " + event.dump() + "\n\n";
}

std::string MakeUsageEvent(const std::string& request_id,
                           std::size_t prompt_bytes,
                           std::uint32_t tokens) {
  const ordered_json event = {{"id", "chatcmpl-" + request_id},
                              {"object", "chat.completion.chunk"},
                              {"choices", json::array()},
                              {"usage", MakeUsage(prompt_bytes, tokens)}};
  return "data: " + event.dump() + "\n\n";
}

bool WriteChunk(net::http_connection& connection, const std::string& text) {
  return net::WriteBuffers(connection, http::make_chunk(net::asio::const_buffer(
                                           text.data(), text.size())));
}

bool WriteStreamHead(net::http_connection& connection,
                     const std::string& request_id) {
  http::response<http::empty_body> response(http::status::ok, 11);
  response.set(http::field::content_type, "text/event-stream");
  response.set(kRequestIdField, request_id);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  const auto written =
      http::async_write_header(connection.stream, serializer, use_fiber);
  return !written.ec;
}

// Whether the client has closed its side of the connection.
bool IsClosed(net::http_connection& connection) {
  char byte = 0;
  return ::recv(connection.stream.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Removes a sequence from its batch on every exit path.
class sequence_guard {
 public:
  sequence_guard(batch& batch, sequence& sequence, std::size_t& active)
      : batch_(batch), sequence_(sequence), active_(active) {
    ++active_;
  }
  ~sequence_guard() {
    batch_.Remove(sequence_);
    --active_;
  }
  sequence_guard(const sequence_guard&) = delete;
  sequence_guard& operator=(const sequence_guard&) = delete;

 private:
  batch& batch_;
  sequence& sequence_;
  std::size_t& active_;
};

}  // namespace

engine_handler::engine_handler(boost::asio::io_context& io,
                               batch& batch,
                               prefix_cache& cache,
                               stand_in::fault_plan& faults,
                               stand_in::journal& journal)
    : io_(io),
      batch_(batch),
      cache_(cache),
      faults_(faults),
      journal_(journal) {}

net::keep_alive engine_handler::Handle(net::http_connection& connection,
                                       net::http_request& request) {
  if (request.target().starts_with("/stand-in/")) {
    return HandleStandIn(connection, request);
  }
  if (request.method() == http::verb::post &&
      (request.target() == "/v1/chat/completions" ||
       request.target() == "/v1/completions")) {
    return Generate(connection, request);
  }
  return Reply(connection, request, http::status::not_found,
               R"({"error":"nothing here"})");
}

bool engine_handler::ParseGeneration(const net::http_request& request,
                                     generation_request& out) {
  const json body = json::parse(request.body(), nullptr, false);
  if (!body.is_object()) {
    return false;
  }
  out.request_id = request[kRequestIdField];
  out.prompt =
      body.contains("messages") ? body["messages"].dump() : LastMessage(body);
  out.answer_word = FirstWord(LastMessage(body));
  out.max_tokens = std::min(body.value("max_tokens", 16U), kMaxTokens);
  out.streamed = body.value("stream", false);
  out.chat = request.target() == "/v1/chat/completions";
  return true;
}

net::keep_alive engine_handler::Generate(net::http_connection& connection,
                                         const net::http_request& request) {
  generation_request generation;
  if (!ParseGeneration(request, generation)) {
    return Reply(connection, request, http::status::bad_request,
                 R"({"error":"malformed body"})");
  }
  const fault fault = faults_.Next();
  if (batch_.IsRecovering() || fault == fault::kNotAdmitted) {
    return Reply(connection, request, http::status::service_unavailable,
                 R"({"error":"not admitted"})", /*admitted=*/false);
  }
  ++started_;
  journal_.RecordRequest(generation.request_id);
  if (fault == fault::kDie) {
    ExitProcess();
  }
  if (fault == fault::kCold) {
    batch_.StartColdPeriod();
    cache_.Clear();
  }
  if (fault == fault::kHang) {
    HangUntilClosed(connection);
    return net::keep_alive::kNo;
  }
  sequence sequence{.request_id = generation.request_id};
  const sequence_guard guard(batch_, sequence, active_);
  const std::uint32_t uncached = cache_.Use(generation.prompt);
  prompt_tokens_ += generation.prompt.size() / prefix_cache::kBytesPerToken;
  computed_tokens_ += uncached;
  batch_.Add(sequence, uncached);
  return generation.streamed
             ? StreamCompletion(connection, generation, fault, sequence)
             : SendCompletion(connection, generation, fault, sequence);
}

net::keep_alive engine_handler::StreamCompletion(
    net::http_connection& connection,
    const generation_request& generation,
    fault fault,
    sequence& sequence) {
  const std::string request_id = fault == fault::kCross
                                     ? batch_.OtherRequestId(sequence)
                                     : generation.request_id;
  const std::string event =
      MakeTextEvent(request_id, generation.chat, generation.answer_word + " ");
  const std::uint32_t fault_position = generation.max_tokens / 2;
  bool ok = WriteStreamHead(connection, generation.request_id);
  std::uint32_t written = 0;
  while (ok && written < generation.max_tokens) {
    if (!AwaitToken(sequence, written + 1)) {
      return net::keep_alive::kNo;
    }
    // Tokens that became ready during the previous write are sent together.
    const std::uint32_t available =
        std::min(sequence.ready_tokens, generation.max_tokens);
    std::string events;
    for (; written < available; ++written) {
      if (written == fault_position && fault == fault::kReset) {
        return net::keep_alive::kNo;
      }
      if (written == fault_position && fault == fault::kStall) {
        HangUntilClosed(connection);
        return net::keep_alive::kNo;
      }
      events +=
          written == fault_position && fault == fault::kCrossLate
              ? MakeTextEvent(batch_.OtherRequestId(sequence), generation.chat,
                              generation.answer_word + " ")
              : event;
      ++output_tokens_;
    }
    ok = WriteChunk(connection, events);
  }
  if (!ok) {
    ++cancelled_;
    return net::keep_alive::kNo;
  }
  const std::string tail = MakeUsageEvent(request_id, generation.prompt.size(),
                                          generation.max_tokens) +
                           "data: [DONE]\n\n";
  ok = WriteChunk(connection, tail);
  ok = ok && net::WriteBuffers(connection, http::make_chunk_last());
  return ok ? net::keep_alive::kYes : net::keep_alive::kNo;
}

net::keep_alive engine_handler::SendCompletion(
    net::http_connection& connection,
    const generation_request& generation,
    fault fault,
    sequence& sequence) {
  std::string text;
  for (std::uint32_t i = 0; i < generation.max_tokens; ++i) {
    if (!AwaitToken(sequence, i + 1)) {
      return net::keep_alive::kNo;
    }
    if (IsClosed(connection)) {
      ++cancelled_;
      return net::keep_alive::kNo;
    }
    text += generation.answer_word + " ";
    ++output_tokens_;
  }
  if (fault == fault::kReset || fault == fault::kStall) {
    return net::keep_alive::kNo;
  }
  const std::string request_id =
      fault == fault::kCross || fault == fault::kCrossLate
          ? batch_.OtherRequestId(sequence)
          : generation.request_id;
  ordered_json body = {
      {"id", (generation.chat ? "chatcmpl-" : "cmpl-") + request_id},
      {"object", generation.chat ? "chat.completion" : "text_completion"}};
  if (generation.chat) {
    body["choices"] = {{{"index", 0},
                        {"message", {{"role", "assistant"}, {"content", text}}},
                        {"finish_reason", "stop"}}};
  } else {
    body["choices"] = {{{"index", 0}, {"text", text}}};
  }
  body["usage"] = MakeUsage(generation.prompt.size(), generation.max_tokens);
  net::http_response response(fault == fault::kError
                                  ? http::status::internal_server_error
                                  : http::status::ok,
                              11);
  response.set(http::field::content_type, kJson);
  response.set(kRequestIdField, request_id);
  response.body() = body.dump();
  return connection.Write(response) ? net::keep_alive::kYes
                                    : net::keep_alive::kNo;
}

bool engine_handler::AwaitToken(sequence& sequence, std::uint32_t count) const {
  while (sequence.ready_tokens < count && !sequence.failed) {
    sequence.changed.Wait();
  }
  return !sequence.failed;
}

void engine_handler::HangUntilClosed(net::http_connection& connection) const {
  char byte = 0;
  connection.stream.expires_never();
  connection.stream.async_read_some(net::asio::buffer(&byte, 1), use_fiber);
}

void engine_handler::ExitProcess() const {
  std::_Exit(1);
}

net::keep_alive engine_handler::HandleStandIn(
    net::http_connection& connection,
    const net::http_request& request) {
  if (request.target() == "/stand-in/statistics") {
    return Reply(connection, request, http::status::ok, Statistics());
  }
  const json body = json::parse(request.body(), nullptr, false);
  if (request.target() == "/stand-in/fault" && body.is_object()) {
    const fault fault = stand_in::ParseFault(body.value("kind", ""));
    if (fault == fault::kCold) {
      batch_.StartColdPeriod();
      cache_.Clear();
    } else {
      faults_.Add(fault, body.value("count", 1U));
    }
    return Reply(connection, request, http::status::ok, "{}");
  }
  return Reply(connection, request, http::status::not_found, "{}");
}

std::string engine_handler::Statistics() const {
  return ordered_json{{"begun", started_},
                      {"running", batch_.running()},
                      {"most_running", batch_.most_running()},
                      {"falls", batch_.overload_failures()},
                      {"cold", batch_.IsCold()},
                      {"cancelled", cancelled_},
                      {"prompt_tokens", prompt_tokens_},
                      {"computed_tokens", computed_tokens_},
                      {"output_tokens", output_tokens_}}
      .dump();
}

}  // namespace burdocklock::engine
