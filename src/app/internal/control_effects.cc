// Performs routing effects: orders to exchanges, log records and metrics.
#include <algorithm>
#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include "app/control_loop.h"

namespace burdocklock::app {

namespace {

std::vector<std::string> Names(const std::vector<target_id>& targets) {
  std::vector<std::string> names;
  names.reserve(targets.size());
  for (const target_id& target : targets) {
    names.push_back(target.value());
  }
  return names;
}

// Part ids in the form in which callers give them.
std::vector<std::string> HexNames(const std::vector<std::uint64_t>& parts) {
  std::vector<std::string> names;
  names.reserve(parts.size());
  for (const std::uint64_t part : parts) {
    std::ostringstream name;
    name << std::hex << part;
    names.push_back(name.str());
  }
  return names;
}

const char* SourceName(routing::origin_source source) {
  switch (source) {
    case routing::origin_source::kRecord:
      return "record";
    case routing::origin_source::kNoVersions:
      return "no_versions";
  }
  return "no_versions";
}

// Whether a stream that its caller took up went on, and else why not.
const char* TakeUpResult(const routing::request_ended& ended) {
  if (ended.first_output) {
    return "went_on";
  }
  const auto* refused = std::get_if<routing::outcome_refused>(&ended.result);
  return refused != nullptr ? ToString(refused->reason)
                            : OutcomeName(ended.result);
}

log_level AnnouncementLevel(targets::announce_result result) {
  return result == targets::announce_result::kUpdated ? log_level::kDebug
                                                      : log_level::kInfo;
}

}  // namespace

void control_loop::Perform(const routing::effects& effects, time_point now) {
  for (const routing::effect& effect : effects) {
    std::visit([&](const auto& value) { Perform(value, now); }, effect);
  }
}

void control_loop::Perform(const routing::start_attempt& effect, time_point) {
  DeliverTo(effect.request, effect);
}

void control_loop::Perform(const routing::cancel_attempt& effect, time_point) {
  DeliverTo(effect.request, effect);
}

void control_loop::Perform(const routing::refuse_request& effect, time_point) {
  CountRefusals(effect.refusal, 1);
  LogRefusal(effect.refusal, LogName(*effect.refusal.request));
  DeliverTo(*effect.refusal.request, effect);
}

void control_loop::Perform(const routing::forward_error_response& effect,
                           time_point) {
  DeliverTo(effect.request, effect);
}

void control_loop::Perform(const routing::truncate_response& effect,
                           time_point) {
  CountRefusals(effect.refusal, 1);
  LogRefusal(effect.refusal, LogName(*effect.refusal.request));
  DeliverTo(*effect.refusal.request, effect);
}

void control_loop::Perform(const routing::routing_decision& effect,
                           time_point) {
  const bool is_retry = effect.reason == routing::routing_reason::kRetry;
  log_record record("route");
  record.Add("request", LogName(effect.request))
      .Add("customer", effect.customer.value())
      .Add("pool", effect.pool.value())
      .Add("attempt", effect.attempt.value())
      .Add("target", effect.target.value())
      .Add("version", effect.version.value())
      .Add("considered", Names(effect.considered))
      .Add("reason", is_retry ? "retry" : "least_loaded")
      .Add("waited_ms", ToMilliseconds(effect.waited));
  if (effect.unread_tokens > 0) {
    record.Add("unread_tokens", effect.unread_tokens)
        .Add("tokens_before", effect.tokens_before)
        .Add("over_share", effect.over_share);
  }
  if (effect.taken_up_from) {
    record.Add("taken_up", SourceName(*effect.taken_up_from));
  }
  if (effect.copy_from) {
    record.Add("copied_tokens", effect.copied_tokens)
        .Add("copy_from", ToString(*effect.copy_from));
  }
  logger_.Log(record);
}

void control_loop::Perform(const routing::attempt_failure_report& effect,
                           time_point) {
  ++metrics_.Counter("burdocklock_attempt_failures_total",
                     {{"kind", ToString(effect.kind)}});
  log_record record("attempt_failed", log_level::kWarning);
  record.Add("request", LogName(effect.request))
      .Add("attempt", effect.attempt.value())
      .Add("target", effect.target.value())
      .Add("kind", ToString(effect.kind))
      .Add("step", effect.step)
      .Add("detail", effect.detail)
      .Add("will_retry", !effect.retry_denied);
  if (effect.retry_denied) {
    record.Add("retry_denied", ToString(*effect.retry_denied));
  }
  if (effect.cancelled_for) {
    record.Add("cancelled_for", ToString(*effect.cancelled_for));
  }
  if (effect.target_ended) {
    ++metrics_.Counter("burdocklock_attempts_ended_with_target_total");
    record.Add("target_ended", true)
        .Add("output_began", effect.output_began)
        .Add("shared_parts", HexNames(effect.shared_parts));
    if (effect.fingerprint) {
      record.Add("fingerprint",
                 HexNames({effect.fingerprint->value()}).front());
    }
  }
  logger_.Log(record);
}

void control_loop::Perform(const routing::request_ended& effect,
                           time_point now) {
  total_time_.Observe(effect.total, now);
  ++metrics_.Counter("burdocklock_requests_total",
                     {{"outcome", OutcomeName(effect.result)},
                      {"customer", effect.customer.value()}});
  log_record record("request_ended");
  record.Add("request", LogName(effect.request))
      .Add("customer", effect.customer.value())
      .Add("pool", effect.pool.value())
      .Add("outcome", OutcomeName(effect.result))
      .Add("attempts", effect.attempts.value())
      .Add("target", effect.target.value())
      .Add("total_ms", ToMilliseconds(effect.total));
  if (effect.taken_up) {
    record.Add("taken_up", true);
    ++metrics_.Counter("burdocklock_streams_taken_up_total",
                       {{"result", TakeUpResult(effect)}});
  }
  if (effect.first_output) {
    record.Add("first_output_ms", ToMilliseconds(*effect.first_output));
  }
  logger_.Log(record);
  exchanges_.erase(effect.request);
}

void control_loop::Perform(const routing::ramp_changed& effect, time_point) {
  logger_.Log(log_record("ramp")
                  .Add("target", effect.target.value())
                  .Add("limit", effect.limit)
                  .Add("cause", effect.cause));
}

void control_loop::Perform(const routing::lease_changed& effect, time_point) {
  logger_.Log(log_record("lease")
                  .Add("target", effect.target.value())
                  .Add("previous", effect.previous)
                  .Add("limit", effect.limit)
                  .Add("lessor", effect.lessor.value()));
}

void control_loop::Perform(const routing::coordinator_changed& effect,
                           time_point) {
  logger_.Log(log_record("coordinator")
                  .Add("data_centre", effect.data_centre.value())
                  .Add("coordinates", effect.coordinates));
}

void control_loop::Perform(const routing::suspect_block_changed& effect,
                           time_point) {
  const bool is_part = effect.suspect.kind == crashes::suspect_kind::kPart;
  if (effect.blocked) {
    ++metrics_.Counter(is_part ? "burdocklock_prompt_blocks_total"
                               : "burdocklock_request_blocks_total");
  }
  const std::string event = std::string(is_part ? "prompt_part_" : "request_") +
                            (effect.blocked ? "blocked" : "released");
  logger_.Log(log_record(event, log_level::kWarning)
                  .Add("pool", effect.suspect.pool.value())
                  .Add(is_part ? "part" : "fingerprint",
                       HexNames({effect.suspect.id}).front())
                  .Add("target_ends", effect.target_ends)
                  .Add("times_blocked", effect.times_blocked)
                  .Add("remaining_ms", ToMilliseconds(effect.remaining)));
}

void control_loop::Perform(const routing::rate_limit_changed& effect,
                           time_point) {
  log_record record("rate_limit");
  record.Add("target", effect.target.value())
      .Add("limited", effect.per_second.has_value());
  if (effect.per_second) {
    record.Add("per_second", *effect.per_second);
  }
  logger_.Log(record);
}

void control_loop::Perform(const routing::stream_began& effect,
                           time_point now) {
  if (feed_) {
    feed_->RecordStream(effect.record, now);
  }
  if (!effect.taken_up) {
    ++metrics_.Counter("burdocklock_streams_begun_total");
  }
}

void control_loop::Perform(const routing::ask_stream_origin& effect,
                           time_point now) {
  if (feed_) {
    feed_->AskStreamOrigin(effect.key, now);
    return;
  }
  // Without control hosts nobody else can know.
  routing::effects out;
  router_.OnStreamOrigin(effect.key, std::nullopt, now, out);
  Perform(out, now);
}

void control_loop::Perform(const routing::target_leaves& effect, time_point) {
  logger_.Log(log_record("target_leaving")
                  .Add("target", effect.target.value())
                  .Add("incarnation", effect.life.value()));
}

void control_loop::Perform(const routing::target_pause_began& effect,
                           time_point) {
  logger_.Log(log_record("target_pause")
                  .Add("target", effect.target.value())
                  .Add("remaining_ms", ToMilliseconds(effect.remaining)));
}

void control_loop::Perform(const routing::pool_short_began& effect,
                           time_point) {
  logger_.Log(log_record("pool_short")
                  .Add("pool", effect.pool.value())
                  .Add("begin_per_second", effect.begin_per_second)
                  .Add("wait_ms", ToMilliseconds(effect.wait))
                  .Add("waiting", effect.waiting)
                  .Add("late", effect.late));
}

void control_loop::CountRefusals(const refusals::refusal& kind,
                                 std::size_t count) {
  metrics_.Counter("burdocklock_refusals_total",
                   {{"reason", ToString(kind.reason)},
                    {"run", ToString(kind.run)}}) += count;
}

void control_loop::LogRefusal(const refusals::refusal& refusal,
                              const std::string& request_name) {
  logger_.Log(log_record("refusal")
                  .Add("refusal", RefusalName(refusal.id))
                  .Add("customer", refusal.customer.value())
                  .Add("reason", ToString(refusal.reason))
                  .Add("run", ToString(refusal.run))
                  .Add("request", request_name)
                  .Add("detail", refusal.detail));
}

void control_loop::LogRefusals(
    const std::vector<refusals::named_refusal>& same) {
  const refusals::named_refusal& first = same.front();
  CountRefusals(first.made, same.size());
  if (same.size() == 1) {
    LogRefusal(first.made, first.request_name);
    return;
  }
  std::vector<std::string> numbers;
  std::vector<std::string> requests;
  for (const refusals::named_refusal& one : same) {
    numbers.push_back(std::to_string(one.made.id.value()));
    requests.push_back(one.request_name);
  }
  logger_.Log(log_record("refusals")
                  .Add("count", same.size())
                  .Add("customer", first.made.customer.value())
                  .Add("reason", ToString(first.made.reason))
                  .Add("run", ToString(first.made.run))
                  .Add("prefix", name_prefix_ + "r")
                  .Add("refusals", std::move(numbers))
                  .Add("requests", std::move(requests)));
}

void control_loop::LogAnnouncement(const targets::announcement& announcement,
                                   targets::announce_result result) {
  logger_.Log(log_record("announcement", AnnouncementLevel(result))
                  .Add("target", announcement.target.value())
                  .Add("incarnation", announcement.life.value())
                  .Add("state", ToString(announcement.state))
                  .Add("result", ToString(result)));
}

}  // namespace burdocklock::app
