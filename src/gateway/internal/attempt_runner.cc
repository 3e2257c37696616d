// See the header.
#include "gateway/internal/attempt_runner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <variant>

#include "routing/told_status.h"

namespace burdocklock::gateway {

using routing::attempt_completed;
using routing::attempt_event;
using routing::attempt_failed;
using routing::call_kind;
using routing::failure_kind;

namespace {

constexpr unsigned kOk = 200;
// How long to wait for the end of the body after the closing event.
constexpr std::chrono::seconds kStreamTailTimeout{1};
constexpr std::size_t kReadBytes = 32 * 1024;
// A live target or its host responds within a round trip.
constexpr std::chrono::milliseconds kProbeTimeout{150};
constexpr unsigned kFirstFinalStatus = 200;
// How many interim responses (1xx) may precede a response.
constexpr int kMaxInterimResponses = 8;
// How many responses to earlier requests are skipped on a reused connection.
constexpr int kMaxStaleResponses = 2;

bool IsEventStream(const net::http_response_head& head) {
  return head.fields[net::http::field::content_type].starts_with(
      "text/event-stream");
}

}  // namespace

attempt_runner::attempt_runner(traffic_context& context,
                               const outgoing_call& call,
                               const routing::start_attempt& order,
                               response_writer& writer)
    : context_(context), call_(call), order_(order), writer_(writer) {}

attempt_event attempt_runner::Run() {
  try {
    return RunToEnd();
  } catch (const std::exception& problem) {
    // What came back from the target is the likeliest cause.
    writer_.OnException();
    return Fail(failure_kind::kWrongAnswer, "exception", problem.what());
  }
}

attempt_event attempt_runner::RunToEnd() {
  if (auto failure = Connect()) {
    return *failure;
  }
  if (auto failure = Send()) {
    return *failure;
  }
  // Destroyed, which reports its remaining tokens, before the caller of `Run`
  // reports the end of the attempt.
  attempt_progress_meter meter(context_.progress, order_.request,
                               order_.attempt);
  meter_ = &meter;
  attempt_event event = Receive();
  auto* failure = std::get_if<attempt_failed>(&event);
  if (failure != nullptr && failure->kind == failure_kind::kBroken) {
    failure->target_ended = RefusesConnections();
  }
  return event;
}

bool attempt_runner::RefusesConnections() {
  net::http_client probe(context_.io);
  probe.ExpiresAfter(kProbeTimeout);
  const result<void> connected = probe.Connect(order_.address);
  return !connected && connected.error().code == error_code::kConnectionFailed;
}

void attempt_runner::Cancel() {
  cancelled_ = true;
  if (connection_) {
    connection_->Close();
  }
}

std::optional<attempt_failed> attempt_runner::Connect() {
  if (order_.connection == routing::connection_choice::kReuseAllowed) {
    named_connection taken = context_.idle_connections.Take(
        order_.address, order_.life, call_.request_name);
    connection_ = std::move(taken.client);
    names_ = taken.names;
  }
  if (connection_) {
    reused_connection_ = true;
    return std::nullopt;
  }
  connection_ = std::make_unique<net::http_client>(context_.io);
  const result<void> connected = connection_->Connect(order_.address);
  if (!connected) {
    const bool own_fault = connected.error().code == error_code::kNoResources;
    return Fail(
        own_fault ? failure_kind::kNoResources : failure_kind::kConnectFailed,
        connected.error().step, connected.error().detail);
  }
  return std::nullopt;
}

std::optional<attempt_failed> attempt_runner::Send() {
  if (cancelled_) {
    return Fail(failure_kind::kCancelled, "send request", "cancelled");
  }
  sent_ = true;
  names_.Add(call_.request_name);
  Report(routing::attempt_sending{});
  net::http_request request = call_.request;
  attempt_parameters parameters{.target = order_.target,
                                .copy_from = order_.copy_from};
  if (call_.deadline) {
    parameters.time_left = *call_.deadline - std::chrono::steady_clock::now();
  }
  if (order_.resumes) {
    parameters.resume_after = LastEventId();
  }
  context_.dialect.Prepare(parameters, request);
  const result<void> sent = connection_->Send(request);
  if (!sent) {
    return FailFrom(sent.error());
  }
  return std::nullopt;
}

attempt_event attempt_runner::Receive() {
  for (int stale = 0; stale <= kMaxStaleResponses; ++stale) {
    const auto head = ReadFinalHead();
    if (!head) {
      return FailFrom(head.error());
    }
    const head_verdict verdict = Judge(head.value());
    NoteHead(head.value(), verdict);
    if (verdict == head_verdict::kOtherRequest && reused_connection_) {
      wrote_extra_ = true;
      std::string skipped;
      const auto hold = MakeHold();
      if (auto failure = ReadBody(skipped, *hold)) {
        return *failure;
      }
      continue;
    }
    if (verdict == head_verdict::kFailure ||
        (verdict == head_verdict::kAnswer && !MayForward(head.value()))) {
      return SaveErrorResponse(head.value());
    }
    if (auto failure = CheckHead(verdict, head.value())) {
      return *failure;
    }
    if (IsRelayed(head.value())) {
      return RelayStream(head.value());
    }
    return ReceiveResponse(head.value());
  }
  return Fail(failure_kind::kWrongAnswer, "read head",
              "only answers to other requests");
}

result<net::http_response_head> attempt_runner::ReadFinalHead() {
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    auto head = connection_->ReadHead(context_.max_answer_bytes);
    if (!head || head.value().status >= kFirstFinalStatus) {
      return head;
    }
  }
  return error{.code = error_code::kMalformed,
               .step = "read head",
               .peer = ToString(connection_->peer()),
               .detail = "too many interim responses"};
}

void attempt_runner::NoteHead(const net::http_response_head& head,
                              head_verdict verdict) {
  routing::answer_head said =
      context_.dialect.ReadAnswerHead(head, std::chrono::steady_clock::now());
  if (head_) {
    // Of an answer to an earlier request that came first.
    said.leaving |= head_->leaving;
    said.pause = std::max(said.pause, head_->pause);
  }
  head_ = said;
  // Output may follow much later.
  if (verdict != head_verdict::kOtherTarget && (said.leaving || said.pause)) {
    Report(routing::attempt_head_read{.head = said});
  }
}

head_verdict attempt_runner::Judge(const net::http_response_head& head) const {
  const head_verdict verdict = context_.dialect.Judge(head, call_);
  const bool says_not_run = verdict == head_verdict::kNotAdmitted ||
                            verdict == head_verdict::kOtherTarget;
  if (says_not_run && reused_connection_ &&
      !context_.dialect.IsNamed(head, call_)) {
    return head_verdict::kMalformed;
  }
  return verdict;
}

std::optional<attempt_failed> attempt_runner::CheckHead(
    head_verdict verdict,
    const net::http_response_head& head) const {
  const std::string status = "status " + std::to_string(head.status);
  switch (verdict) {
    case head_verdict::kAnswer:
      break;
    case head_verdict::kNotAdmitted:
      return Fail(failure_kind::kNotAdmitted, "read head", status);
    case head_verdict::kOtherTarget:
      return Fail(failure_kind::kOtherTarget, "read head", status);
    case head_verdict::kFailure:
    case head_verdict::kHiddenFailure:
      return Fail(failure_kind::kTargetError, "read head", status);
    case head_verdict::kOtherRequest:
    case head_verdict::kMalformed:
      return Fail(failure_kind::kWrongAnswer, "read head",
                  status + " does not answer this request");
  }
  // Only events may follow those that have been forwarded.
  if (writer_.started() && !IsRelayed(head)) {
    return Fail(failure_kind::kTargetError, "resume stream", status);
  }
  return std::nullopt;
}

bool attempt_runner::IsRelayed(const net::http_response_head& head) const {
  return call_.spec.kind == call_kind::kStreamedGeneration &&
         head.status == kOk && IsEventStream(head);
}

std::string attempt_runner::LastEventId() const {
  const stream_writer* stream = writer_.stream();
  return stream == nullptr ? std::string() : stream->last_event_id();
}

bool attempt_runner::MayForward(const net::http_response_head& head) const {
  // The target has the request and does not say that it did not run it.
  return routing::MayTell(
      head.status, {.repeatable = call_.spec.repeatable, .may_have_run = true});
}

std::unique_ptr<net::byte_hold> attempt_runner::MakeHold() {
  return std::make_unique<net::byte_hold>(context_.budget,
                                          [this] { connection_->Close(); });
}

attempt_failed attempt_runner::FailForLackOfRoom() const {
  return Fail(failure_kind::kAnswerTooLarge, "read answer",
              "no room beside other messages");
}

std::optional<attempt_failed> attempt_runner::ReadBody(std::string& body,
                                                       net::byte_hold& hold) {
  std::array<char, kReadBytes> piece;
  while (!connection_->AtEnd()) {
    const auto read = connection_->ReadSome(piece.data(), piece.size());
    if (hold.given_up()) {
      return FailForLackOfRoom();
    }
    if (!read) {
      return FailFrom(read.error());
    }
    if (body.size() + read.value() > context_.max_answer_bytes) {
      return Fail(failure_kind::kAnswerTooLarge, "read answer", "too large");
    }
    if (!hold.Resize(body.size() + read.value())) {
      return FailForLackOfRoom();
    }
    body.append(piece.data(), read.value());
    meter_->Add(0);
  }
  hold.Complete();
  return std::nullopt;
}

attempt_event attempt_runner::ReceiveResponse(
    const net::http_response_head& head) {
  Report(routing::attempt_first_output{.head = *head_});
  std::string body;
  const auto hold = MakeHold();
  if (auto failure = ReadBody(body, *hold)) {
    return *failure;
  }
  const response_summary summary =
      context_.dialect.Summarise(call_, head.status, body);
  if (!summary.matches_request) {
    return Fail(failure_kind::kWrongAnswer, "read answer",
                "the body does not name this request");
  }
  ReleaseConnection();
  auto permit = writer_.TakeHeadPermit();
  if (!permit) {
    return Fail(failure_kind::kTargetError, "write answer",
                "an answer has begun");
  }
  MoveCallerIfCrowded();
  if (!writer_.WriteResponse(*std::move(permit), head, std::move(body))) {
    return Fail(failure_kind::kCallerLost, "write answer", "caller lost");
  }
  return attempt_completed{.reported = summary.reported_usage};
}

attempt_event attempt_runner::SaveErrorResponse(
    const net::http_response_head& head) {
  std::string body;
  auto hold = MakeHold();
  if (auto failure = ReadBody(body, *hold)) {
    return *failure;
  }
  ReleaseConnection();
  attempt_failed failure = Fail(failure_kind::kTargetError, "read head",
                                "status " + std::to_string(head.status));
  if (!cancelled_ && !writer_.started()) {
    failure.answer_status = head.status;
  }
  saved_response_ = {
      .head = head, .body = std::move(body), .hold = std::move(hold)};
  return failure;
}

attempt_event attempt_runner::RelayStream(const net::http_response_head& head) {
  std::optional<std::string> resume_after;
  if (order_.resumes) {
    resume_after = LastEventId();
  }
  const auto scanner = context_.dialect.MakeScanner(call_, resume_after);
  const auto hold = MakeHold();
  std::size_t unforwarded = 0;
  std::array<char, kReadBytes> piece;
  while (scanner->state() == stream_state::kOpen && !connection_->AtEnd()) {
    const auto read = connection_->ReadSome(piece.data(), piece.size());
    if (hold->given_up()) {
      return FailForLackOfRoom();
    }
    if (!read) {
      return FailFrom(read.error());
    }
    const std::string_view events =
        scanner->Feed(std::string_view(piece.data(), read.value()));
    unforwarded = events.empty() ? unforwarded + read.value() : 0;
    if (!hold->Resize(unforwarded)) {
      return FailForLackOfRoom();
    }
    if (!events.empty()) {
      if (!ForwardEvents(head, events, scanner->new_tokens())) {
        return Fail(failure_kind::kCallerLost, "write stream", "caller lost");
      }
      writer_.stream()->SetLastEventId(scanner->last_event_id());
    }
  }
  return FinishStream(*scanner);
}

attempt_event attempt_runner::FinishStream(i_stream_scanner& scanner) {
  if (scanner.state() == stream_state::kWrongAnswer) {
    return Fail(failure_kind::kWrongAnswer, "read stream",
                "an event does not belong to this request");
  }
  if (scanner.state() == stream_state::kTargetError) {
    return Fail(failure_kind::kTargetError, "read stream",
                "the engine reported an error");
  }
  stream_writer* stream = writer_.stream();
  if (!scanner.IsCompleteAtEnd() || stream == nullptr) {
    return Fail(failure_kind::kBroken, "read stream",
                "ended before it was whole");
  }
  if (!stream->End()) {
    return Fail(failure_kind::kCallerLost, "write stream", "caller lost");
  }
  ReadStreamTail();
  return attempt_completed{.reported = scanner.reported_usage()};
}

void attempt_runner::MoveCallerIfCrowded() {
  if (context_.intake.MovesCaller(std::chrono::steady_clock::now())) {
    writer_.CloseAfter();
  }
}

bool attempt_runner::BeginStream(const net::http_response_head& head) {
  if (writer_.stream() != nullptr) {
    return true;
  }
  auto permit = writer_.TakeHeadPermit();
  MoveCallerIfCrowded();
  return permit && writer_.BeginStream(*std::move(permit), head);
}

bool attempt_runner::ForwardEvents(const net::http_response_head& head,
                                   std::string_view events,
                                   std::uint32_t tokens) {
  const time_point now = std::chrono::steady_clock::now();
  if (!last_output_) {
    Report(routing::attempt_first_output{.head = *head_});
    if (!BeginStream(head)) {
      return false;
    }
  } else if (tokens > 0) {
    context_.progress.AddTokenGap((now - *last_output_) / tokens);
  }
  last_output_ = now;
  meter_->SetBlocked(true);
  const bool written = writer_.stream()->WriteEvents(events);
  meter_->SetBlocked(false);
  meter_->Add(tokens);
  return written;
}

void attempt_runner::ReleaseConnection() {
  // A target that has written an answer too many may do so again.
  if (!cancelled_ && !wrote_extra_ && connection_->Reusable()) {
    context_.idle_connections.Put(
        order_.life, {.client = std::move(connection_), .names = names_});
  }
}

void attempt_runner::ReadStreamTail() {
  connection_->ExpiresAfter(kStreamTailTimeout);
  std::array<char, kReadBytes> piece;
  while (!connection_->AtEnd()) {
    const auto read = connection_->ReadSome(piece.data(), piece.size());
    if (!read) {
      return;
    }
  }
  ReleaseConnection();
}

attempt_failed attempt_runner::Fail(failure_kind kind,
                                    std::string step,
                                    std::string detail) const {
  return {.kind = cancelled_ ? failure_kind::kCancelled : kind,
          .sent = sent_,
          .delivered = writer_.started(),
          .step = std::move(step),
          .detail = std::move(detail),
          .head = head_};
}

attempt_failed attempt_runner::FailFrom(const error& error) const {
  switch (error.code) {
    case error_code::kMalformed:
      return Fail(failure_kind::kWrongAnswer, error.step, error.detail);
    case error_code::kTooLarge:
      return Fail(failure_kind::kAnswerTooLarge, error.step, error.detail);
    default:
      return Fail(failure_kind::kBroken, error.step, error.detail);
  }
}

void attempt_runner::Report(attempt_event event) {
  context_.control.ReportAttempt(order_.request, order_.attempt,
                                 std::move(event));
}

}  // namespace burdocklock::gateway
