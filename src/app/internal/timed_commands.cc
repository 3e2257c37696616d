// See the header.
#include "app/internal/timed_commands.h"

#include <chrono>
#include <utility>

#include "app/internal/leadership_report.h"

namespace burdocklock::app {

using control::command_done;
using control::command_outcome;
using std::chrono::steady_clock;

timed_commands::timed_commands(control::control_node& node,
                               i_logger& logger,
                               metric_registry& metrics,
                               std::function<void()> after)
    : node_(node),
      logger_(logger),
      metrics_(metrics),
      after_command_(std::move(after)) {}

void timed_commands::ReplaceConfiguration(std::uint64_t version,
                                          std::string document,
                                          command_done done) {
  node_.SetTime(steady_clock::now());
  node_.ReplaceConfiguration(
      version, std::move(document),
      WithOutcomeLog("replace_configuration",
                     log_record("command").Add("version", version),
                     std::move(done)));
  after_command_();
}

void timed_commands::ReadConfiguration(command_done done) {
  node_.SetTime(steady_clock::now());
  node_.ReadConfiguration(
      WithFailureLog("read_configuration", std::move(done)));
  after_command_();
}

void timed_commands::SetOutage(const data_centre_id& data_centre,
                               bool out,
                               command_done done) {
  node_.SetTime(steady_clock::now());
  node_.SetOutage(data_centre, out,
                  WithOutcomeLog(out ? "take_out" : "take_back",
                                 log_record("command").Add("data_centre",
                                                           data_centre.value()),
                                 std::move(done)));
  after_command_();
}

void timed_commands::BeginRollout(const rollouts::rollout_order& order,
                                  command_done done) {
  node_.SetTime(steady_clock::now());
  node_.BeginRollout(order,
                     WithOutcomeLog("begin_rollout",
                                    log_record("command")
                                        .Add("pool", order.pool.value())
                                        .Add("version", order.version.value())
                                        .Add("duration_ms", order.time.count()),
                                    std::move(done)));
  after_command_();
}

void timed_commands::ReadRollout(const pool_id& pool, command_done done) {
  node_.SetTime(steady_clock::now());
  node_.ReadRollout(pool, WithFailureLog("read_rollout", std::move(done)));
  after_command_();
}

void timed_commands::Announce(const targets::announcement& announcement) {
  node_.SetTime(steady_clock::now());
  node_.Announce(announcement);
  after_command_();
}

void timed_commands::Withdraw(const target_id& target,
                              std::optional<incarnation> life) {
  node_.SetTime(steady_clock::now());
  node_.Withdraw(target, life);
  after_command_();
}

command_done timed_commands::WithLatency(const std::string& name,
                                         command_done done) {
  latency_histogram& latency =
      metrics_.Latency("burdocklock_command_seconds", {{"command", name}});
  return [&latency, begin = steady_clock::now(),
          done = std::move(done)](const command_outcome& outcome) {
    const time_point now = steady_clock::now();
    latency.Observe(now - begin, now);
    done(outcome);
  };
}

command_done timed_commands::WithOutcomeLog(const std::string& name,
                                            log_record record,
                                            command_done done) {
  record.Add("command", name);
  return WithLatency(
      name, [this, record = std::move(record), begin = steady_clock::now(),
             done = std::move(done)](const command_outcome& outcome) mutable {
        const time_point now = steady_clock::now();
        record.Add("outcome", ToString(outcome.status))
            .Add("took_ms", ToMilliseconds(now - begin))
            .Add("held_version", node_.state().contents().version);
        AddLeadership(outcome.led_by ? *outcome.led_by : node_.Leadership(now),
                      record);
        logger_.Log(record);
        done(outcome);
      });
}

command_done timed_commands::WithFailureLog(const std::string& name,
                                            command_done done) {
  auto logged = WithOutcomeLog(name, log_record("command"), done);
  auto unlogged = WithLatency(name, std::move(done));
  return [logged = std::move(logged),
          unlogged = std::move(unlogged)](const command_outcome& outcome) {
    const bool is_answered =
        outcome.status == control::command_status::kDone || outcome.leader;
    (is_answered ? unlogged : logged)(outcome);
  };
}

}  // namespace burdocklock::app
