// Applies operator commands to the replicated state, and encodes commands and
// snapshots as CBOR.
#include "control/operator_state.h"

#include <algorithm>
#include <cstddef>
#include <exception>

#include <boost/outcome/success_failure.hpp>
#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"
#include "framework/codec/entry_list.h"
#include "framework/codec/whole_number.h"
#include "rollouts/rollout_codec.h"
#include "rollouts/rollout_history_codec.h"

namespace burdocklock::control {

using nlohmann::json;
using rollouts::rollout;
using rollouts::rollout_history;
using rollouts::rollout_phase;

namespace {

constexpr char kConfiguration[] = "configuration";
constexpr char kOutage[] = "outage";
constexpr char kBeginRollout[] = "begin_rollout";
constexpr char kNoteRollout[] = "note_rollout";
constexpr char kEndRollout[] = "end_rollout";

error Malformed(const char* step, const std::exception& problem) {
  return {.code = error_code::kMalformed,
          .step = step,
          .peer = {},
          .detail = problem.what()};
}

// Absent without steps, and from earlier software.
std::vector<rollouts::rollout_step> DecodeSteps(const json& command,
                                                std::size_t at) {
  std::vector<rollouts::rollout_step> steps;
  if (command.size() > at && command.at(at).is_array()) {
    // Shown to operators only: one that is odd is not worth the command.
    dropped_entries ignored;
    ReadEntries(command.at(at), steps, ignored);
  }
  return steps;
}

void EncodeSteps(const std::vector<rollouts::rollout_step>& steps,
                 json& command) {
  if (!steps.empty()) {
    command.push_back(steps);
  }
}

operator_command DecodeCommand(const std::string& bytes) {
  const json j = ParseCbor(bytes);
  const auto& kind = j.at(0).get_ref<const std::string&>();
  if (kind == kConfiguration) {
    return set_configuration{.version = ReadWhole<std::uint64_t>(j.at(1)),
                             .document = j.at(2).get<std::string>()};
  }
  if (kind == kOutage) {
    return set_outage{.data_centre = j.at(1).get<data_centre_id>(),
                      .out = j.at(2).get<bool>()};
  }
  if (kind == kBeginRollout) {
    return begin_rollout{.order = j.at(1).get<rollouts::rollout_order>()};
  }
  if (kind == kNoteRollout) {
    return note_rollout{
        .order = j.at(1).get<rollouts::rollout_order>(),
        .elapsed = std::chrono::milliseconds(ReadWhole<std::int64_t>(j.at(2))),
        .steps = DecodeSteps(j, 3)};
  }
  if (kind == kEndRollout) {
    return end_rollout{.order = j.at(1).get<rollouts::rollout_order>(),
                       .phase = ToEnum(j.at(2), rollout_phase::kReverted),
                       .retired = j.at(3).get<std::set<software_version>>(),
                       .steps = DecodeSteps(j, 4)};
  }
  throw std::out_of_range("unknown command kind");
}

bool ApplyChange(const set_configuration& command,
                 state_contents& contents,
                 rollout_history&) {
  if (command.version <= contents.version) {
    return false;
  }
  contents.version = command.version;
  contents.document = command.document;
  return true;
}

bool ApplyChange(const set_outage& command,
                 state_contents& contents,
                 rollout_history&) {
  return command.out ? contents.out.insert(command.data_centre).second
                     : contents.out.erase(command.data_centre) > 0;
}

bool ApplyChange(const begin_rollout& command,
                 state_contents& contents,
                 rollout_history& history) {
  const auto found = contents.rollouts.find(command.order.pool);
  if (found != contents.rollouts.end() &&
      (found->second.phase == rollout_phase::kInProgress ||
       found->second.order == command.order)) {
    return false;
  }
  contents.rollouts[command.order.pool] = {.order = command.order};
  history.OnBegun(command.order);
  return true;
}

// Returns nullptr unless the order is in progress.
rollout* FindRunning(const rollouts::rollout_order& order,
                     state_contents& contents) {
  const auto found = contents.rollouts.find(order.pool);
  const bool is_running = found != contents.rollouts.end() &&
                          found->second.order == order &&
                          found->second.phase == rollout_phase::kInProgress;
  return is_running ? &found->second : nullptr;
}

bool ApplyChange(const note_rollout& command,
                 state_contents& contents,
                 rollout_history& history) {
  if (rollout* running = FindRunning(command.order, contents)) {
    running->elapsed = std::max(running->elapsed, command.elapsed);
    history.OnSteps(command.order, command.steps);
  }
  return false;
}

bool ApplyChange(const end_rollout& command,
                 state_contents& contents,
                 rollout_history& history) {
  rollout* running = FindRunning(command.order, contents);
  if (running == nullptr || command.phase == rollout_phase::kInProgress) {
    return false;
  }
  running->phase = command.phase;
  running->retired = command.retired;
  history.OnSteps(command.order, command.steps);
  history.OnEnded(command.order, command.phase);
  return true;
}

// As far as earlier software kept it.
rollout_history HistoryOf(const rollouts::rollout_map& known) {
  rollout_history history;
  for (const auto& [pool, value] : known) {
    history.OnBegun(value.order);
    history.OnEnded(value.order, value.phase);
  }
  return history;
}

json EncodeValue(const set_configuration& value) {
  return json::array({kConfiguration, value.version, value.document});
}

json EncodeValue(const set_outage& value) {
  return json::array({kOutage, value.data_centre, value.out});
}

json EncodeValue(const begin_rollout& value) {
  return json::array({kBeginRollout, value.order});
}

json EncodeValue(const note_rollout& value) {
  json j = json::array({kNoteRollout, value.order, value.elapsed.count()});
  EncodeSteps(value.steps, j);
  return j;
}

json EncodeValue(const end_rollout& value) {
  json j = json::array({kEndRollout, value.order,
                        static_cast<unsigned>(value.phase), value.retired});
  EncodeSteps(value.steps, j);
  return j;
}

}  // namespace

std::string EncodeCommand(const operator_command& command) {
  std::string bytes;
  json::to_cbor(
      std::visit([](const auto& value) { return EncodeValue(value); }, command),
      bytes);
  return bytes;
}

result<void> operator_state::Apply(state_revision position,
                                   const std::string& command) {
  try {
    const bool changed = std::visit(
        [this](const auto& value) {
          return ApplyChange(value, contents_, history_);
        },
        DecodeCommand(command));
    if (changed) {
      revision_ = position;
    }
  } catch (const std::exception& problem) {
    return Malformed("apply command", problem);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string operator_state::Encode() const {
  std::string bytes;
  json::to_cbor(
      json::array({revision_, contents_.version, contents_.document,
                   contents_.out, rollouts::EncodeRollouts(contents_.rollouts),
                   history_}),
      bytes);
  return bytes;
}

result<void> operator_state::Restore(const std::string& encoded) {
  try {
    const json j = ParseCbor(encoded);
    state_contents contents;
    ReadElement(j, 1, contents.version);
    ReadElement(j, 2, contents.document);
    ReadElement(j, 3, contents.out);
    // Absent in snapshots of earlier software.
    constexpr std::size_t kRolloutsAt = 4;
    if (j.size() > kRolloutsAt) {
      contents.rollouts = rollouts::DecodeRollouts(j.at(kRolloutsAt));
    }
    constexpr std::size_t kHistoryAt = 5;
    rollout_history history = j.size() > kHistoryAt
                                  ? j.at(kHistoryAt).get<rollout_history>()
                                  : HistoryOf(contents.rollouts);
    revision_ = j.at(0).get<state_revision>();
    contents_ = std::move(contents);
    history_ = std::move(history);
  } catch (const std::exception& problem) {
    return Malformed("restore state", problem);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace burdocklock::control
