// Operator commands and reads of `control_node`.
#include <algorithm>
#include <utility>

#include "control/control_node.h"

namespace burdocklock::control {

command_outcome control_node::NotLeaderOutcome() const {
  command_outcome outcome{.status = command_status::kNotLeader,
                          .led_by = Leadership(now_)};
  const quorum::member* leader = raft_.FindMember(raft_.leader());
  if (leader != nullptr && leader->id != raft_.self()) {
    outcome.leader = leader->command_endpoint;
  }
  return outcome;
}

command_outcome control_node::UnknownOutcome() const {
  return {.status = command_status::kUnknown, .led_by = Leadership(now_)};
}

void control_node::Propose(const operator_command& command, command_done done) {
  if (commands_ended_) {
    done(UnknownOutcome());
    return;
  }
  const auto accepted = raft_.Propose(EncodeCommand(command), now_);
  if (!accepted) {
    done(NotLeaderOutcome());
    return;
  }
  pending_commands_[accepted->index] = {
      .term = accepted->term,
      .deadline = now_ + options_.command_timeout,
      .done = std::move(done)};
  ProcessRaftOutput();
}

void control_node::ReplaceConfiguration(std::uint64_t version,
                                        std::string document,
                                        command_done done) {
  if (version > state_.contents().version) {
    Propose(
        set_configuration{.version = version, .document = std::move(document)},
        std::move(done));
    return;
  }
  // Nothing to change, but the read confirms that this host's version is
  // committed and current before the command is acknowledged.
  ReadConfiguration([done = std::move(done)](const command_outcome& read) {
    done({.status = read.status, .leader = read.leader, .led_by = read.led_by});
  });
}

void control_node::SetOutage(const data_centre_id& data_centre,
                             bool out,
                             command_done done) {
  const auto& known = options_.data_centres;
  if (std::find(known.begin(), known.end(), data_centre) == known.end()) {
    done({.status = command_status::kUnknownDataCentre});
    return;
  }
  Propose(set_outage{.data_centre = data_centre, .out = out}, std::move(done));
}

void control_node::ReadConfiguration(command_done done) {
  if (commands_ended_) {
    done(UnknownOutcome());
    return;
  }
  last_read_ = quorum::read_id(last_read_.value() + 1);
  // Registered before the request, as the result may be available at once.
  pending_reads_[last_read_] = {.deadline = now_ + options_.command_timeout,
                                .done = std::move(done)};
  if (!raft_.RequestRead(last_read_, now_)) {
    const auto node = pending_reads_.extract(last_read_);
    node.mapped().done(NotLeaderOutcome());
    return;
  }
  ProcessRaftOutput();
}

void control_node::BeginRollout(const rollouts::rollout_order& order,
                                command_done done) {
  if (!options_.rollouts) {
    done({.status = command_status::kNotEnabled});
    return;
  }
  // Whether the order conflicts is certain only after a read, and before it has
  // effect only once it is applied.
  ReadRollout(order.pool, [this, order, done = std::move(done)](
                              const command_outcome& read) mutable {
    if (read.status != command_status::kDone) {
      done(read);
      return;
    }
    if (read.rollout && read.rollout->order == order) {
      done({.status = command_status::kDone});
      return;
    }
    Propose(begin_rollout{.order = order},
            [this, order, done = std::move(done)](command_outcome outcome) {
              const auto found = state_.contents().rollouts.find(order.pool);
              const bool has_effect =
                  found != state_.contents().rollouts.end() &&
                  found->second.order == order;
              if (outcome.status == command_status::kDone && !has_effect) {
                outcome.status = command_status::kConflict;
              }
              done(outcome);
            });
  });
}

void control_node::ReadRollout(const pool_id& pool, command_done done) {
  ReadConfiguration([this, pool,
                     done = std::move(done)](const command_outcome& read) {
    command_outcome outcome{
        .status = read.status, .leader = read.leader, .led_by = read.led_by};
    const auto found = state_.contents().rollouts.find(pool);
    if (found != state_.contents().rollouts.end()) {
      outcome.rollout = found->second;
    }
    outcome.rollout_history = state_.history().Of(pool);
    done(outcome);
  });
}

void control_node::CompleteCommand(const quorum::log_entry& entry) {
  const auto found = pending_commands_.find(entry.index);
  if (found == pending_commands_.end()) {
    return;
  }
  const auto node = pending_commands_.extract(found);
  const bool own = node.mapped().term == entry.term;
  node.mapped().done(own ? command_outcome{.status = command_status::kDone}
                         : UnknownOutcome());
}

void control_node::CompleteReads(
    const std::vector<quorum::read_result>& reads) {
  for (const quorum::read_result& read : reads) {
    const auto found = pending_reads_.find(read.id);
    if (found == pending_reads_.end()) {
      continue;
    }
    const auto node = pending_reads_.extract(found);
    if (read.confirmed) {
      node.mapped().done({.status = command_status::kDone,
                          .document = state_.contents().document});
    } else {
      node.mapped().done(UnknownOutcome());
    }
  }
}

void control_node::FailCommands() {
  for (auto& [index, command] : std::exchange(pending_commands_, {})) {
    command.done(UnknownOutcome());
  }
}

void control_node::EndCommands() {
  commands_ended_ = true;
  FailCommands();
  for (auto& [id, read] : std::exchange(pending_reads_, {})) {
    read.done(UnknownOutcome());
  }
}

void control_node::ExpireCommands() {
  std::vector<command_done> expired;
  std::erase_if(pending_commands_, [&](auto& command) {
    if (command.second.deadline > now_) {
      return false;
    }
    expired.push_back(std::move(command.second.done));
    return true;
  });
  std::erase_if(pending_reads_, [&](auto& read) {
    if (read.second.deadline > now_) {
      return false;
    }
    expired.push_back(std::move(read.second.done));
    return true;
  });
  for (const command_done& done : expired) {
    done(UnknownOutcome());
  }
}

}  // namespace burdocklock::control
