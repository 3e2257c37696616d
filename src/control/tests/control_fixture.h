// Control hosts and routers in virtual time, on a simulated network whose links
// can be cut.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "control/control_node.h"
#include "control/router_client.h"
#include "crashes/evidence_store.h"
#include "framework/seeded_random.h"

namespace burdocklock::control {

inline endpoint LinkEndpoint(std::size_t host) {
  return {.address = "10.0.0." + std::to_string(host), .port = 7400};
}
inline endpoint CommandEndpoint(std::size_t host) {
  return {.address = "10.0.0." + std::to_string(host), .port = 8785};
}

// Carries messages between daemons, which are identified by index.
class fake_network {
 public:
  struct connection {
    std::size_t from = 0;
    std::size_t to = 0;
  };

  void Disconnect(std::size_t a, std::size_t b) {
    disconnected.emplace(a, b);
    disconnected.emplace(b, a);
  }

  // As the daemon that accepted it knows it: each time that it is opened again
  // it is another link there, and nothing tells the end of the one before.
  [[nodiscard]] std::uint64_t AcceptedAs(std::uint64_t opened) const {
    const auto found = accepted_as.find(opened);
    return found == accepted_as.end() ? opened : found->second;
  }
  void AcceptAnew(std::uint64_t opened) {
    accepted_as[opened] = ++last_link;
    opened_as[last_link] = opened;
  }
  // As the daemon that opened it knows it; none if the link is dead.
  [[nodiscard]] std::optional<std::uint64_t> OpenedAs(std::size_t daemon,
                                                      link_id link) const {
    const auto own = connections.find(link.value());
    if (own != connections.end() && own->second.from == daemon) {
      return link.value();
    }
    const auto found = opened_as.find(link.value());
    const std::uint64_t opened =
        found == opened_as.end() ? link.value() : found->second;
    const bool is_alive =
        connections.contains(opened) && AcceptedAs(opened) == link.value();
    return is_alive ? std::optional(opened) : std::nullopt;
  }

  struct packet {
    time_point due;
    std::size_t to;
    link_id link;
    message contents;
  };
  std::set<std::pair<std::size_t, std::size_t>> disconnected;
  /// Connections that were reset, and when they are back.
  std::map<std::uint64_t, time_point> down;
  std::map<std::uint64_t, connection> connections;
  /// Of connections that were opened again: the link of the accepting daemon,
  /// and the connection of each such link.
  std::map<std::uint64_t, std::uint64_t> accepted_as;
  std::map<std::uint64_t, std::uint64_t> opened_as;
  std::deque<packet> packets;
  std::deque<std::pair<std::size_t, link_id>> pending_opens;
  std::uint64_t last_link = 0;
  /// Nothing that elects or replicates arrives; all else does.
  bool drops_quorum = false;
  /// Messages with a list of routers, and with a configuration.
  std::uint64_t router_lists = 0;
  std::uint64_t configurations = 0;
  std::uint64_t evidence_updates = 0;
  time_point now{std::chrono::seconds(100)};
};

class fake_links : public i_link_port {
 public:
  fake_links(fake_network& network, std::size_t self)
      : network_(network), self_(self) {}

  link_id Open(const endpoint& peer) override {
    const link_id link(++network_.last_link);
    network_.connections[link.value()] = {self_,
                                          std::stoul(peer.address.substr(7))};
    network_.pending_opens.emplace_back(self_, link);
    return link;
  }
  [[nodiscard]] bool HasRoom(link_id) const override { return true; }
  void Reopen(link_id link) override {
    network_.AcceptAnew(link.value());
    network_.pending_opens.emplace_back(self_, link);
  }
  void Close(link_id link) override {
    network_.connections.erase(link.value());
  }
  void SendToAll(const std::vector<link_id>& links,
                 const message& message) override {
    for (const link_id link : links) {
      Send(link, message);
    }
  }
  void Send(link_id link, const message& message) override {
    const auto opened = network_.OpenedAs(self_, link);
    if (!opened) {
      return;
    }
    if (const auto* update = std::get_if<state_update>(&message)) {
      network_.router_lists += update->routers.empty() ? 0 : 1;
      network_.configurations += update->contents ? 1 : 0;
    }
    network_.evidence_updates +=
        std::holds_alternative<evidence_update>(message) ? 1 : 0;
    const auto& ends = network_.connections.at(*opened);
    const bool is_opener = ends.from == self_;
    const std::size_t to = is_opener ? ends.to : ends.from;
    const link_id there(is_opener ? network_.AcceptedAs(*opened) : *opened);
    if (network_.drops_quorum &&
        std::holds_alternative<quorum_envelope>(message)) {
      return;
    }
    if (!network_.disconnected.contains({self_, to}) &&
        !network_.down.contains(*opened)) {
      network_.packets.push_back(
          {network_.now + std::chrono::milliseconds(2), to, there, message});
    }
  }

 private:
  fake_network& network_;
  std::size_t self_;
};

struct fake_control_port : i_control_port {
  void Store(quorum::batch_number batch,
             std::vector<quorum::storage_record> records) override {
    for (const auto& record : records) {
      Apply(record, disk);
    }
    stored.push_back(batch);
  }
  void StoreEvidence(crashes::evidence known) override {
    evidence = std::move(known);
    ++evidence_stores;
  }
  void OnRole(quorum::raft_role,
              quorum::term_number,
              const quorum::member_id&) override {}
  void OnMembers(const quorum::membership&) override {}
  void OnVote(const quorum::vote_note&) override {}
  void OnElection(const quorum::election_note&) override {}
  void OnJoin(const quorum::join_note&) override {}
  void OnState(state_revision, const state_contents&) override {}
  void OnTarget(const targets::announcement&, registry_result) override {}
  void OnStreamContradiction(const streams::stream_record&) override {
    ++contradictions;
  }
  void OnStreamsDropped(std::uint64_t count) override { dropped += count; }
  void OnLeastShare(const admission::least_share& least) override {
    least_share = least;
  }
  void OnRollout(const rollouts::rollout_order&,
                 const rollouts::rollout_step& step) override {
    rollout_steps.push_back(step);
  }
  void OnError(const error&) override { ++problems; }

  std::vector<rollouts::rollout_step> rollout_steps;
  quorum::durable_state disk;
  /// As last stored, and how often.
  crashes::evidence evidence;
  int evidence_stores = 0;
  std::deque<quorum::batch_number> stored;
  int problems = 0;
  int contradictions = 0;
  std::uint64_t dropped = 0;
  std::optional<admission::least_share> least_share;
};

struct fake_router_view : i_router_view {
  void OnState(state_revision revision,
               const state_contents& contents,
               bool) override {
    revision_decreased |= revision < applied_revision;
    applied_revision = revision;
    state = contents;
  }
  void OnTarget(const targets::announcement& announcement,
                time_point) override {
    targets[announcement.target] = announcement;
  }
  void OnRouters(const std::vector<daemon_id>& ids) override {
    routers = ids;
    fewest_routers = std::min(fewest_routers, ids.size());
  }
  void OnContactChanged(bool in_contact) override { connected = in_contact; }
  void OnOthersLoad(const admission::fleet_load& load) override {
    others = load;
  }
  void OnRolloutParts(
      const std::vector<rollouts::rollout_part>& parts) override {
    rollout_parts = parts;
  }

  void OnEvidence(const crashes::evidence& received) override {
    evidence.Merge(received, time_point(std::chrono::seconds(100)));
  }
  crashes::evidence KnownEvidence() const override {
    return evidence.All(time_point(std::chrono::seconds(100)));
  }

  void OnStreamOrigin(
      stream_key key,
      const std::optional<streams::stream_origin>& origin) override {
    origins[key].push_back(origin);
  }
  void OnStreamContradiction(const streams::stream_record&) override {
    ++contradictions;
  }

  /// Answers to questions about each stream.
  std::map<stream_key, std::vector<std::optional<streams::stream_origin>>>
      origins;
  int contradictions = 0;
  crashes::evidence_store evidence;
  state_revision applied_revision;
  state_contents state;
  std::map<target_id, targets::announcement> targets;
  /// Messages with targets.
  std::uint64_t target_updates = 0;
  std::vector<daemon_id> routers;
  std::size_t fewest_routers = std::numeric_limits<std::size_t>::max();
  admission::fleet_load others;
  std::vector<rollouts::rollout_part> rollout_parts;
  bool connected = false;
  bool revision_decreased = false;
};

// The first daemons are control hosts, the others routers.
template <std::size_t Hosts, std::size_t Routers>
struct fleet_fixture {
  static constexpr std::size_t kHosts = Hosts;
  static constexpr std::size_t kRouters = Routers;

  std::uint32_t tolerated_losses;
  /// Streams that control hosts started from now on remember.
  std::size_t control_host_capacity = streams::kControlHostCapacity;
  /// Of control hosts that are started from now on.
  std::optional<rollouts::rollout_limits> rollout_limits =
      rollouts::rollout_limits{};
  seeded_random random{3};
  fake_network network;
  std::vector<std::unique_ptr<fake_links>> links;
  std::vector<std::unique_ptr<fake_control_port>> ports;
  std::vector<std::unique_ptr<control_node>> hosts;
  std::vector<std::unique_ptr<fake_router_view>> views;
  std::vector<std::unique_ptr<router_client>> routers;

  explicit fleet_fixture(std::uint32_t tolerated = 1)
      : tolerated_losses(tolerated) {
    quorum::membership first;
    for (std::size_t i = 0; i < kHosts; ++i) {
      first.push_back({.id = quorum::member_id("h" + std::to_string(i)),
                       .peer_endpoint = LinkEndpoint(i),
                       .command_endpoint = CommandEndpoint(i),
                       .voter = true});
    }
    for (std::size_t i = 0; i < kHosts + kRouters; ++i) {
      links.push_back(std::make_unique<fake_links>(network, i));
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      ports.push_back(std::make_unique<fake_control_port>());
      ports[i]->disk.self = first[i].id;
      ports[i]->disk.base = {.last_index = quorum::log_index(1),
                             .last_term = quorum::term_number(1),
                             .members = first};
      hosts.emplace_back();
      StartHost(i);
    }
    for (std::size_t i = 0; i < kRouters; ++i) {
      views.push_back(std::make_unique<fake_router_view>());
      routers.emplace_back();
      StartRouter(i);
    }
    RunFor(std::chrono::seconds(4));
  }

  static std::vector<endpoint> Seeds() {
    return {LinkEndpoint(0), LinkEndpoint(1), LinkEndpoint(2)};
  }
  void StartHost(std::size_t i) { StartHost(i, Seeds()); }
  void StartHost(std::size_t i, std::vector<endpoint> seeds) {
    hosts[i] = std::make_unique<control_node>(
        control_options{.daemon = daemon_id("c" + std::to_string(i)),
                        .seeds = std::move(seeds),
                        .data_centres = {data_centre_id("cheras")},
                        .raft = {.peer_endpoint = LinkEndpoint(i),
                                 .command_endpoint = CommandEndpoint(i),
                                 .tolerated_losses = tolerated_losses},
                        .stored_evidence = ports[i]->evidence,
                        .rollouts = rollout_limits,
                        .stream_capacity = control_host_capacity},
        ports[i]->disk, random, *links[i], *ports[i], network.now);
  }
  void StartRouter(std::size_t i) {
    *views[i] = fake_router_view();
    routers[i] = std::make_unique<router_client>(
        router_client_options{.daemon = daemon_id("r" + std::to_string(i)),
                              .seeds = Seeds()},
        *links[kHosts + i], *views[i], network.now);
  }

  static crashes::evidence EndOf(const std::string& target) {
    return {.ends = {{.target = target_id(target),
                      .life = incarnation(1),
                      .pool = pool_id("llm"),
                      .parts = {9},
                      .requests = {request_fingerprint(9)}}}};
  }
  // As a router does whose target has ended.
  void Notice(std::size_t router, const crashes::evidence& noticed) {
    views[router]->evidence.Merge(noticed, network.now);
    routers[router]->SendEvidence(noticed);
  }

  void RunFor(duration time) {
    const time_point end = network.now + time;
    while (network.now < end) {
      network.now += std::chrono::milliseconds(2);
      Step();
    }
  }
  void Step() {
    std::erase_if(network.down, [&](const auto& reset) {
      const auto found = network.connections.find(reset.first);
      const bool is_back = reset.second <= network.now;
      if (is_back && found != network.connections.end()) {
        network.pending_opens.emplace_back(found->second.from,
                                           link_id(reset.first));
      }
      return is_back;
    });
    for (const auto& [daemon, link] :
         std::exchange(network.pending_opens, {})) {
      const auto found = network.connections.find(link.value());
      if (found == network.connections.end() ||
          network.disconnected.contains({daemon, found->second.to})) {
        continue;
      }
      if (daemon < kHosts) {
        hosts[daemon]->OnLinkUp(link, network.now);
      } else {
        routers[daemon - kHosts]->OnLinkUp(link, network.now);
      }
    }
    while (!network.packets.empty() &&
           network.packets.front().due <= network.now) {
      const fake_network::packet packet = network.packets.front();
      network.packets.pop_front();
      if (packet.to < kHosts) {
        hosts[packet.to]->OnMessage(packet.link, packet.contents, network.now);
      } else {
        const std::size_t router = packet.to - kHosts;
        const auto* update = std::get_if<target_update>(&packet.contents);
        views[router]->target_updates +=
            update != nullptr && !update->targets.empty() ? 1 : 0;
        routers[router]->OnMessage(packet.link, packet.contents, network.now);
      }
    }
    for (std::size_t i = 0; i < kHosts; ++i) {
      for (const auto batch : std::exchange(ports[i]->stored, {})) {
        hosts[i]->OnDurable(batch, network.now);
      }
      if (hosts[i]->NextDeadline() <= network.now) {
        hosts[i]->OnTick(network.now);
      }
    }
    for (auto& router : routers) {
      if (router->NextDeadline() <= network.now) {
        router->OnTick(network.now);
      }
    }
  }

  std::size_t Leader() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (hosts[i]->raft().role() == quorum::raft_role::kLeader &&
          hosts[i]->raft().IsCurrent(network.now)) {
        return i;
      }
    }
    FAIL("there is no leader");
    return 0;
  }
  command_status Replace(std::size_t host,
                         std::uint64_t version,
                         const std::string& document) {
    // Shared, as the callback may run after this function has returned.
    const auto status =
        std::make_shared<command_status>(command_status::kUnknown);
    hosts[host]->SetTime(network.now);
    hosts[host]->ReplaceConfiguration(
        version, document,
        [status](const command_outcome& outcome) { *status = outcome.status; });
    RunFor(std::chrono::milliseconds(100));
    return *status;
  }
  command_outcome Read(std::size_t host) {
    const auto read = std::make_shared<command_outcome>();
    hosts[host]->SetTime(network.now);
    hosts[host]->ReadConfiguration(
        [read](const command_outcome& outcome) { *read = outcome; });
    RunFor(std::chrono::milliseconds(100));
    return *read;
  }
  void Isolate(std::size_t daemon) {
    for (std::size_t other = 0; other < kHosts + kRouters; ++other) {
      network.Disconnect(daemon, other);
    }
  }
  // Ends a connection; what it carries is lost.
  void TellDown(std::uint64_t connection) {
    const fake_network::connection& ends = network.connections.at(connection);
    const std::pair<std::size_t, link_id> opener(ends.from, connection);
    const std::pair<std::size_t, link_id> accepter(
        ends.to, network.AcceptedAs(connection));
    for (const auto& [daemon, link] : {opener, accepter}) {
      std::erase_if(network.packets, [&](const auto& packet) {
        return packet.link == link && packet.to == daemon;
      });
      if (daemon < kHosts) {
        hosts[daemon]->OnLinkDown(link, network.now);
      } else {
        routers[daemon - kHosts]->OnLinkDown(link, network.now);
      }
    }
  }
  // Resets all connections with an end at a daemon that `is_reset` names; they
  // are back after a while.
  template <typename Predicate>
  void ResetLinks(Predicate is_reset) {
    constexpr std::chrono::milliseconds kReconnect{200};
    for (const auto& [id, ends] : network.connections) {
      if (!is_reset(ends.from) && !is_reset(ends.to)) {
        continue;
      }
      TellDown(id);
      network.down[id] = network.now + kReconnect;
    }
  }
  static targets::announcement MakeTarget(std::uint64_t life,
                                          std::uint64_t sequence,
                                          targets::target_state state) {
    return {.target = target_id("t"),
            .life = incarnation(life),
            .data_centre = data_centre_id("cheras"),
            .pools = {pool_id("desk")},
            .state = state,
            .slots = 6,
            .sequence = sequence};
  }
};

// Daemons 0 to 2 are control hosts, 3 and 4 routers.
struct control_fixture : fleet_fixture<3, 2> {};

}  // namespace burdocklock::control
