// Members of one log on virtual time, with a network and disks that misbehave.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "framework/seeded_random.h"
#include "quorum/raft_node.h"

namespace burdocklock::quorum {

class fake_cluster {
 public:
  /// The first `voters` of `hosts` know each other from the start.
  fake_cluster(std::uint32_t seed, std::size_t voters, std::size_t hosts)
      : random_(seed) {
    membership first;
    for (std::size_t i = 0; i < voters; ++i) {
      first.push_back({.id = IdOf(i, 0), .links = LinkOf(i), .voter = true});
    }
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.emplace_back();
      hosts_[i].disk.self = IdOf(i, 0);
      if (i < voters) {
        hosts_[i].disk.base = {.last_index = log_index(1),
                               .last_term = term_number(1),
                               .members = first};
      }
      Start(i);
    }
  }

  struct acknowledged {
    std::string command;
    log_index index;
  };

  void RunFor(duration time) {
    const time_point end = now + time;
    while (now < end) {
      now += kStep;
      Step();
    }
  }

  // Troubles.
  void Cut(std::size_t from, std::size_t to) { cuts_.emplace(from, to); }
  void CutOff(std::size_t host) {
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      Cut(host, other);
      Cut(other, host);
    }
  }
  void Heal() { cuts_.clear(); }
  void SetLoss(std::uint32_t percent) { loss_percent_ = percent; }
  void SetDiskDelay(std::size_t host, duration delay) {
    hosts_[host].disk_delay = delay;
    for (write& write : hosts_[host].writes) {
      write.done = std::min(write.done, now + delay);
    }
  }
  /// The process ends; what was not synced is lost.
  void Kill(std::size_t host) {
    hosts_[host].node.reset();
    hosts_[host].writes.clear();
    hosts_[host].state.clear();
  }
  void Start(std::size_t host) {
    fake_host& h = hosts_[host];
    raft_options options;
    options.links = LinkOf(host);
    h.node = std::make_unique<raft_node>(options, h.disk, random_, now);
    h.next_join = now;
    Drain(host);
  }
  /// Comes back later with an empty disk.
  void Wipe(std::size_t host) {
    Kill(host);
    fake_host& h = hosts_[host];
    h.disk = durable_state{.self = IdOf(host, ++h.life)};
    h.disk_lost = now;
  }

  std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (hosts_[i].node && hosts_[i].node->role() == raft_role::kLeader &&
          hosts_[i].node->IsCurrent(now)) {
        return i;
      }
    }
    return std::nullopt;
  }
  /// Gives a command to any host that believes that it leads.
  bool Propose(const std::string& command) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (!hosts_[i].node) {
        continue;
      }
      const auto accepted = hosts_[i].node->Propose(command, now);
      if (accepted) {
        hosts_[i].waiting[accepted->index] = {accepted->term, command};
        Drain(i);
        return true;
      }
    }
    return false;
  }
  void Ask(std::size_t host, std::uint64_t id) {
    if (hosts_[host].node->RequestRead(read_id(id), now)) {
      Drain(host);
    }
  }

  bool IsUp(std::size_t host) const { return hosts_[host].node != nullptr; }
  const raft_node& Node(std::size_t host) const { return *hosts_[host].node; }
  const std::vector<std::string>& State(std::size_t host) const {
    return hosts_[host].state;
  }
  std::size_t size() const { return hosts_.size(); }
  std::uint32_t Below(std::uint32_t bound) { return random_.Below(bound); }

  /// Commands that their leader has reported as done.
  std::vector<acknowledged> acks;
  /// Answers to `Ask`.
  std::map<std::uint64_t, bool> answers;
  /// What was applied at each position, by whichever member was first.
  std::map<log_index, log_entry> history;
  bool diverged = false;
  /// Leaders of each term.
  std::map<term_number, std::set<member_id>> leaders;
  time_point now{std::chrono::seconds(100)};

 private:
  static constexpr std::chrono::milliseconds kStep{5};
  static constexpr std::size_t kCompactEvery = 20;

  struct write {
    time_point done;
    batch_number batch;
    std::vector<storage_record> records;
  };
  struct fake_host {
    durable_state disk;
    std::deque<write> writes;
    duration disk_delay = std::chrono::milliseconds(5);
    time_point disk_lost{};
    std::unique_ptr<raft_node> node;
    std::vector<std::string> state;
    std::size_t since_compaction = 0;
    std::map<log_index, std::pair<term_number, std::string>> waiting;
    std::uint64_t life = 0;
    time_point next_join{};
  };
  struct packet {
    time_point due;
    std::size_t from;
    member_id sender;
    member_id to;
    quorum_message message;
  };

  static member_id IdOf(std::size_t host, std::uint64_t life) {
    return member_id("h" + std::to_string(host) + "#" + std::to_string(life));
  }
  static endpoint LinkOf(std::size_t host) {
    return {.address = "10.0.0." + std::to_string(host), .port = 1};
  }
  static std::size_t HostOf(const member_id& id) {
    return std::stoul(id.value().substr(1));
  }

  void Step() {
    std::vector<packet> due;
    std::erase_if(network_, [&](packet& packet) {
      if (packet.due > now) {
        return false;
      }
      due.push_back(std::move(packet));
      return true;
    });
    for (const packet& packet : due) {
      const std::size_t to = HostOf(packet.to);
      if (hosts_[to].node && hosts_[to].node->self() == packet.to) {
        hosts_[to].node->OnMessage(packet.sender, packet.message, now);
        Drain(to);
      }
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      Sync(i);
      if (hosts_[i].node && hosts_[i].node->NextDeadline() <= now) {
        hosts_[i].node->OnTick(now);
        Drain(i);
      }
      Join(i);
    }
  }
  void Join(std::size_t host) {
    fake_host& h = hosts_[host];
    if (!h.node || now < h.next_join) {
      return;
    }
    h.next_join = now + std::chrono::milliseconds(300);
    if (!h.node->WantsToJoin(now)) {
      return;
    }
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      if (other != host && hosts_[other].node) {
        Post(host, {.to = hosts_[other].node->self(),
                    .message = join_request{h.node->Description()}});
      }
    }
  }
  void Sync(std::size_t host) {
    fake_host& h = hosts_[host];
    while (!h.writes.empty() && h.writes.front().done <= now) {
      for (const storage_record& record : h.writes.front().records) {
        Apply(record, h.disk);
      }
      const batch_number batch = h.writes.front().batch;
      h.writes.pop_front();
      h.node->OnDurable(batch, now);
      Drain(host);
    }
  }
  void Drain(std::size_t host) {
    fake_host& h = hosts_[host];
    raft_output output = h.node->TakeOutput();
    if (h.node->role() == raft_role::kLeader) {
      leaders[h.node->term()].insert(h.node->self());
    }
    if (!output.records.empty()) {
      h.writes.push_back({.done = NextSync(h),
                          .batch = output.batch,
                          .records = std::move(output.records)});
    }
    for (outgoing_message& message : output.messages) {
      Post(host, std::move(message));
    }
    for (const applied_item& item : output.applied) {
      if (const auto* base = std::get_if<snapshot>(&item)) {
        h.state = Split(base->state);
      } else {
        ApplyEntry(h, std::get<log_entry>(item));
      }
    }
    for (const read_result& read : output.reads) {
      answers[read.id.value()] = read.sure;
    }
    if (h.since_compaction >= kCompactEvery) {
      h.since_compaction = 0;
      h.node->Compact(h.node->commit(), Join(h.state));
      Drain(host);
    }
  }
  // What comes in during one sync is written by the next one.
  time_point NextSync(const fake_host& h) const {
    if (h.writes.empty()) {
      return now + h.disk_delay;
    }
    return h.writes.size() == 1 ? h.writes.back().done + h.disk_delay
                                : h.writes.back().done;
  }
  void ApplyEntry(fake_host& h, const log_entry& entry) {
    const auto [known, first] = history.emplace(entry.index, entry);
    diverged |= !first && !(known->second == entry);
    if (entry.kind == entry_kind::kCommand) {
      h.state.push_back(entry.command);
    }
    ++h.since_compaction;
    const auto waiting = h.waiting.find(entry.index);
    if (waiting != h.waiting.end()) {
      if (waiting->second.first == entry.term) {
        acks.push_back({waiting->second.second, entry.index});
      }
      h.waiting.erase(waiting);
    }
  }
  void Post(std::size_t from, outgoing_message message) {
    const std::size_t to = HostOf(message.to);
    if (cuts_.contains({from, to}) || random_.Below(100) < loss_percent_) {
      return;
    }
    network_.push_back(
        {.due = now + std::chrono::milliseconds(1 + random_.Below(8)),
         .from = from,
         .sender = hosts_[from].node->self(),
         .to = message.to,
         .message = std::move(message.message)});
  }
  static std::string Join(const std::vector<std::string>& state) {
    std::string joined = "s";
    for (const std::string& command : state) {
      joined += "\n" + command;
    }
    return joined;
  }
  static std::vector<std::string> Split(const std::string& joined) {
    std::vector<std::string> state;
    std::size_t at = joined.find('\n');
    while (at != std::string::npos) {
      const std::size_t next = joined.find('\n', at + 1);
      state.push_back(joined.substr(at + 1, next - at - 1));
      at = next;
    }
    return state;
  }

  seeded_random random_;
  std::vector<fake_host> hosts_;
  std::vector<packet> network_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::uint32_t loss_percent_ = 0;
};

}  // namespace burdocklock::quorum
