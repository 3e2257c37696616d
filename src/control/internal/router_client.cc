// Handles messages from control hosts and decides when a received state is
// applied. Also sends heartbeats and load reports.
#include "control/router_client.h"

#include <utility>

#include "crashes/evidence_pieces.h"

namespace burdocklock::control {

router_client::router_client(router_client_options options,
                             i_link_port& links,
                             i_router_view& view,
                             time_point now)
    : options_(std::move(options)),
      port_(links),
      view_(view),
      links_(links, options_.links),
      streams_(options_.daemon, links, view, links_),
      started_(now),
      next_heartbeat_(now) {
  UpdateLinks(now);
}

void router_client::OnTick(time_point now) {
  streams_.OnTick(now);
  if (now < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now + options_.links.heartbeat_interval;
  links_.ReopenIdleLinks(now);
  SendIntroductions();
  UpdateContact(now);
  // If no control host can confirm the newest state, an old one is better than
  // none.
  const bool waited = now - started_ >= options_.unconfirmed_state_delay;
  if (applied_revision_ == state_revision() && candidate_ && waited) {
    ApplyState(candidate_->revision, candidate_->contents, false);
  }
}

void router_client::OnLinkUp(link_id link, time_point now) {
  links_.OnUp(link, now);
  port_.Send(link, introduction{.daemon = options_.daemon,
                                .applied_revision = applied_revision_});
  SendInPieces({link}, view_.KnownEvidence());
  streams_.OnLinkUp(link, now);
}

void router_client::OnLinkDown(link_id link, time_point now) {
  links_.OnDown(link);
  UpdateContact(now);
}

void router_client::OnMessage(link_id link,
                              const message& message,
                              time_point now) {
  links_.OnReceived(link, now);
  UpdateContact(now);
  if (const auto* update = std::get_if<state_update>(&message)) {
    if (update->is_leader && update->current) {
      collector_ = link;
    } else if (collector_ == link) {
      collector_.reset();
    }
  }
  if (const auto* answer = std::get_if<stream_answer>(&message)) {
    streams_.OnAnswer(link, *answer, now);
  }
  std::visit([&](const auto& value) { Handle(value, now); }, message);
}

void router_client::SetSeeds(std::vector<endpoint> seeds, time_point now) {
  options_.seeds = std::move(seeds);
  UpdateLinks(now);
}

void router_client::Handle(const introduction&, time_point) {
  // Control hosts send introductions to one another only.
}

void router_client::Handle(const quorum_envelope&, time_point) {
  // Quorum messages are sent between control hosts only.
}

void router_client::Handle(const load_report&, time_point) {
  // Sent to control hosts only.
}

void router_client::Handle(const load_summary& m, time_point) {
  view_.OnOthersLoad(m.others);
}

void router_client::Handle(const evidence_update& m, time_point) {
  view_.OnEvidence(m.contents);
}

void router_client::Handle(const stream_update&, time_point) {
  // Sent to control hosts only.
}

void router_client::Handle(const stream_query&, time_point) {
  // Sent to control hosts only.
}

void router_client::Handle(const stream_answer&, time_point) {
  // Handled by OnMessage, as the link matters.
}

void router_client::Handle(const rollout_update& m, time_point) {
  view_.OnRolloutParts(m.parts);
}

void router_client::Handle(const unrecognised_message&, time_point) {}

void router_client::SendEvidence(const crashes::evidence& news) {
  SendInPieces(links_.OpenLinks(), news);
}

void router_client::SendInPieces(const std::vector<link_id>& links,
                                 crashes::evidence evidence) {
  for (crashes::evidence& piece : crashes::InPieces(std::move(evidence))) {
    port_.SendToAll(links, evidence_update{.contents = std::move(piece)});
  }
}

void router_client::ReportLoad(
    const admission::fleet_load& load,
    std::vector<rollouts::rollout_outcomes> outcomes) {
  if (collector_ && links_.IsUp(*collector_)) {
    port_.Send(*collector_, load_report{.daemon = options_.daemon,
                                        .load = load,
                                        .outcomes = std::move(outcomes)});
  }
}

void router_client::Handle(const state_update& m, time_point now) {
  LearnControlHosts(m, now);
  if (m.current && !m.routers.empty() && m.routers != routers_) {
    routers_ = m.routers;
    view_.OnRouters(routers_);
  }
  if (m.revision <= applied_revision_) {
    return;
  }
  if (m.contents && (!candidate_ || candidate_->revision < m.revision)) {
    candidate_ = {
        .revision = m.revision, .contents = *m.contents, .since = now};
  }
  // An unconfirmed state is still a committed one, so it is applied if the
  // router has an older state.
  const bool accept = m.current || applied_revision_ != state_revision();
  if (accept && candidate_ && candidate_->revision == m.revision) {
    ApplyState(m.revision, candidate_->contents, m.current);
  }
}

void router_client::Handle(const target_update& m, time_point now) {
  for (const aged_announcement& target : m.targets) {
    view_.OnTarget(target.announced,
                   now - std::chrono::milliseconds(target.age_ms));
  }
}

void router_client::LearnControlHosts(const state_update& m, time_point now) {
  if (m.control_hosts.empty() || (hosts_confirmed_ && !m.current)) {
    return;
  }
  std::set<endpoint> hosts(m.control_hosts.begin(), m.control_hosts.end());
  if (!m.current) {
    // Each may know others, and any of them the newest state.
    hosts.insert(control_hosts_.begin(), control_hosts_.end());
  }
  hosts_confirmed_ |= m.current;
  if (hosts != control_hosts_) {
    control_hosts_ = std::move(hosts);
    UpdateLinks(now);
  }
}

void router_client::ApplyState(state_revision revision,
                               const state_contents& contents,
                               bool current) {
  applied_revision_ = revision;
  view_.OnState(revision, contents, current);
  candidate_.reset();
  SendIntroductions();
}

void router_client::SendIntroductions() {
  for (const link_id link : links_.OpenLinks()) {
    port_.Send(link, introduction{.daemon = options_.daemon,
                                  .applied_revision = applied_revision_});
  }
}

void router_client::UpdateLinks(time_point now) {
  std::set<endpoint> peers = control_hosts_;
  peers.insert(options_.seeds.begin(), options_.seeds.end());
  links_.SetPeers(peers, now);
}

void router_client::UpdateContact(time_point now) {
  const bool in_contact = links_.AnyActive(now);
  if (in_contact != std::exchange(in_contact_, in_contact)) {
    view_.OnContactChanged(in_contact);
  }
}

}  // namespace burdocklock::control
