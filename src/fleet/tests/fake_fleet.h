// Test fixture: the state machines of several daemons, connected by an
// in-memory port and run on virtual time, with targets that take a fixed time
// per request.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet_node.h"
#include "framework/seeded_random.h"
#include "routing/request_router.h"

namespace burdocklock::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct fake_target_state {
  targets::announcement announced;
  /// Requests in flight from all daemons.
  std::uint32_t running = 0;
  std::uint32_t max_running = 0;
  bool alive = true;
};

class fake_fleet {
 public:
  struct daemon : i_fleet_port, routing::i_routing_observer {
    daemon(fake_fleet& fleet, std::size_t index, membership::member self)
        : fleet(fleet), index(index), self(std::move(self)) {
      Start();
    }
    void Start() {
      routing::router_options options;
      options.directory.local_data_centre = self.data_centre;
      options.directory.leased = true;
      options.max_queued_per_customer = 10'000;
      options.max_queued_total = 100'000;
      options.lifecycle.queue_timeout = seconds(10'000);
      options.lifecycle.total_timeout = seconds(20'000);
      options.no_target_wait = seconds(10'000);
      router = std::make_unique<routing::request_router>(options, fleet.random,
                                                         *this);
      fleet_options node_options{.self = self,
                                 .peer_count = fleet.data_centres.size() - 1};
      node_options.coordinator.directory.local_data_centre = self.data_centre;
      node = std::make_unique<fleet_node>(node_options, *router, fleet.random,
                                          *this, fleet.now);
    }
    void Send(link_id link, const message& message) override {
      fleet.Transmit(index, link, message);
    }
    void Reopen(link_id link) override {
      fleet.Schedule(milliseconds(5), [this, link, life = self.life] {
        if (alive && self.life == life) {
          node->OnLinkUp(link, fleet.now);
        }
      });
    }
    void OnQueueWait(duration, time_point) override {}
    void OnFirstOutput(duration, time_point) override {}

    fake_fleet& fleet;
    std::size_t index;
    membership::member self;
    std::unique_ptr<routing::request_router> router;
    std::unique_ptr<fleet_node> node;
    bool alive = true;
    time_point next_tick = kNever;
    std::map<std::string, double> served;
    std::uint64_t last_request = 0;
    std::map<request_seq, std::string> owners;
  };

  /// Creates a daemon for each entry of `names`, the data centres. The first
  /// daemon of each data centre has the control role.
  fake_fleet(std::vector<std::string> names, std::uint32_t seed)
      : random(seed), data_centres(std::move(names)) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < data_centres.size(); ++i) {
      daemons.push_back(std::make_unique<daemon>(
          *this, i,
          membership::member{
              .daemon = daemon_id("d" + std::to_string(i)),
              .life = incarnation(1),
              .data_centre = data_centre_id(data_centres[i]),
              .region = region_id("r"),
              .has_control_role = seen.insert(data_centres[i]).second}));
    }
    for (const auto& daemon : daemons) {
      OpenLinks(*daemon);
    }
  }

  void AddTarget(const std::string& name,
                 const std::string& data_centre,
                 std::uint32_t slots,
                 std::uint32_t cold_slots) {
    fake_target_state& target = targets[target_id(name)];
    target.announced = {.target = target_id(name),
                        .life = incarnation(1),
                        .data_centre = data_centre_id(data_centre),
                        .address = {.port = 1},
                        .pools = {pool_id("model")},
                        .state = targets::target_state::kReady,
                        .slots = slots,
                        .cold_slots = cold_slots};
    Announce(target_id(name));
  }

  void Request(std::size_t at, const std::string& customer, double cost) {
    daemon& daemon = *daemons[at];
    if (!daemon.alive) {
      return;
    }
    const request_seq id(++daemon.last_request);
    daemon.owners[id] = customer;
    routing::effects out;
    daemon.router->OnRequest(
        {.id = id,
         .customer = customer_id(customer),
         .pool = pool_id("model"),
         .prompt_tokens = static_cast<std::uint32_t>(cost)},
        now, out);
    ProcessEffects(daemon, out);
  }

  void SetShare(const std::string& customer, double share) {
    for (const auto& daemon : daemons) {
      daemon->router->SetCustomer(customer_id(customer), {.share = share});
    }
  }

  /// Disconnects or reconnects a data centre's daemons and targets.
  void Partition(const std::string& data_centre, bool cut) {
    if (cut) {
      disconnected.insert(data_centre);
    } else {
      disconnected.erase(data_centre);
    }
  }

  /// Ends a daemon's process, which closes its connections to targets.
  void Kill(std::size_t index) {
    daemon& daemon = *daemons[index];
    daemon.alive = false;
    for (auto& [id, target] : targets) {
      const auto found = in_flight.find({index, id});
      target.running -= found == in_flight.end() ? 0 : found->second;
    }
    std::erase_if(in_flight, [&](const auto& entry) {
      return entry.first.first == index;
    });
  }

  void Restart(std::size_t index) {
    daemon& daemon = *daemons[index];
    daemon.self.life = incarnation(daemon.self.life.value() + 1);
    daemon.alive = true;
    daemon.next_tick = kNever;
    daemon.Start();
    OpenLinks(daemon);
  }

  void OrderDataCentre(std::size_t at,
                       const std::string& data_centre,
                       bool out) {
    routing::effects effects;
    daemons[at]->node->OrderDataCentre(data_centre_id(data_centre), out, now,
                                       effects);
    ProcessEffects(*daemons[at], effects);
  }

  void Run(duration time) {
    const time_point until = now + time;
    while (!events.empty() && events.top().at <= until) {
      const event next = events.top();
      events.pop();
      now = next.at;
      next.action();
    }
    now = until;
  }

  std::size_t Running() const {
    std::size_t running = 0;
    for (const auto& [id, target] : targets) {
      running += target.running;
    }
    return running;
  }

  std::size_t Waiting() const {
    std::size_t waiting = 0;
    for (const auto& daemon : daemons) {
      waiting += daemon->alive ? daemon->router->totals().waiting : 0;
    }
    return waiting;
  }

  double Served(const std::string& customer) const {
    double sum = 0;
    for (const auto& daemon : daemons) {
      const auto found = daemon->served.find(customer);
      sum += found == daemon->served.end() ? 0 : found->second;
    }
    return sum;
  }

  void Schedule(duration delay, std::function<void()> action) {
    events.push({now + delay, ++sequence, std::move(action)});
  }

  seeded_random random;
  std::vector<std::string> data_centres;
  time_point now{seconds(1000)};
  std::vector<std::unique_ptr<daemon>> daemons;
  std::map<target_id, fake_target_state> targets;
  duration service_time = milliseconds(400);
  std::uint32_t loss_per_mille = 0;
  std::set<std::string> disconnected;
  /// Time of the last attempt started, by data centre of the target.
  std::map<std::string, time_point> last_start;

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void OpenLinks(daemon& daemon) {
    for (std::size_t i = 1; i < daemons.size() || i < data_centres.size();
         ++i) {
      Schedule(milliseconds(1), [&daemon, i, this, life = daemon.self.life] {
        if (daemon.alive && daemon.self.life == life) {
          daemon.node->OnLinkUp(link_id(i), now);
        }
      });
    }
    ScheduleTick(daemon);
  }

  // Link i of a daemon connects to the i-th of the other daemons.
  std::size_t PeerIndex(std::size_t from, std::uint64_t link) const {
    const auto peer = static_cast<std::size_t>(link) - 1;
    return peer < from ? peer : peer + 1;
  }

  bool Connected(std::size_t a, std::size_t b) const {
    const std::string& first = data_centres[a];
    const std::string& second = data_centres[b];
    return first == second ||
           (!disconnected.contains(first) && !disconnected.contains(second));
  }

  void Transmit(std::size_t from, link_id link, const message& message) {
    constexpr std::uint64_t kInboundBase = 1000;
    const bool reply = link.value() >= kInboundBase;
    const std::size_t to =
        reply ? static_cast<std::size_t>(link.value() - kInboundBase) / 100
              : PeerIndex(from, link.value());
    // The link id at the receiver: its own outbound link for a reply, otherwise
    // an inbound one.
    const link_id seen(reply ? (link.value() - kInboundBase) % 100
                             : kInboundBase + from * 100 + link.value());
    if (random.Below(1000) < loss_per_mille) {
      return;
    }
    Schedule(milliseconds(1 + random.Below(4)),
             [this, from, to, seen, message] {
               daemon& receiver = *daemons[to];
               if (!receiver.alive || !Connected(from, to)) {
                 return;
               }
               routing::effects out;
               receiver.node->OnMessage(seen, message, now, out);
               ProcessEffects(receiver, out);
             });
  }

  void Announce(const target_id& id) {
    fake_target_state& target = targets[id];
    if (target.alive) {
      target.announced.load =
          targets::load_report{.running = target.running,
                               .at_ms = static_cast<std::uint64_t>(
                                   now.time_since_epoch() / milliseconds(1))};
      for (const auto& daemon : daemons) {
        // Skips daemons that the target's data centre can't reach.
        const bool local = data_centre_id(data_centres[daemon->index]) ==
                           target.announced.data_centre;
        const bool cut =
            disconnected.contains(target.announced.data_centre.value()) ||
            disconnected.contains(data_centres[daemon->index]);
        if (!daemon->alive || (cut && !local)) {
          continue;
        }
        routing::effects out;
        daemon->node->OnAnnouncement(target.announced, now, out);
        ProcessEffects(*daemon, out);
      }
    }
    Schedule(seconds(2), [this, id] { Announce(id); });
  }

  void ProcessEffects(daemon& daemon, routing::effects& out) {
    daemon.node->AfterRouterEvent(now, out);
    for (const routing::effect& effect : out) {
      if (const auto* start = std::get_if<routing::start_attempt>(&effect)) {
        StartAttempt(daemon, *start);
      }
    }
    out.clear();
    ScheduleTick(daemon);
  }

  void ScheduleTick(daemon& daemon) {
    const time_point next = std::max(
        now,
        std::min(daemon.node->NextDeadline(), daemon.router->NextDeadline()));
    if (next >= daemon.next_tick && daemon.next_tick > now) {
      return;
    }
    daemon.next_tick = next;
    Schedule(next - now, [this, &daemon, next, life = daemon.self.life] {
      if (!daemon.alive || daemon.self.life != life ||
          daemon.next_tick != next) {
        return;
      }
      daemon.next_tick = kNever;
      routing::effects out;
      daemon.router->OnTick(now, out);
      daemon.node->OnTick(now, out);
      ProcessEffects(daemon, out);
    });
  }

  void StartAttempt(daemon& daemon, const routing::start_attempt& start) {
    fake_target_state& target = targets.at(start.target);
    last_start[target.announced.data_centre.value()] = now;
    ++target.running;
    ++in_flight[{daemon.index, start.target}];
    target.max_running = std::max(target.max_running, target.running);
    Schedule(service_time, [this, &daemon, start, life = daemon.self.life] {
      if (!daemon.alive || daemon.self.life != life) {
        return;
      }
      --targets.at(start.target).running;
      --in_flight[{daemon.index, start.target}];
      constexpr std::uint32_t kTokens = 10;
      daemon.served[daemon.owners.at(start.request)] += kTokens;
      routing::effects out;
      daemon.router->OnAttempt(start.request, start.attempt,
                               routing::attempt_sending{}, now, out);
      daemon.router->OnAttempt(start.request, start.attempt,
                               routing::attempt_progress{.tokens = kTokens},
                               now, out);
      daemon.router->OnAttempt(start.request, start.attempt,
                               routing::attempt_completed{}, now, out);
      ProcessEffects(daemon, out);
    });
  }

  std::map<std::pair<std::size_t, target_id>, std::uint32_t> in_flight;
  std::priority_queue<event> events;
  std::uint64_t sequence = 0;
};

}  // namespace burdocklock::fleet
