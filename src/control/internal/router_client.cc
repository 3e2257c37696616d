// See the header.
#include "control/router_client.h"

#include <utility>

namespace burdocklock::control {

router_client::router_client(router_client_options options,
                             i_link_port& links,
                             i_router_view& view,
                             time_point now)
    : options_(std::move(options)),
      port_(links),
      view_(view),
      links_(links, options_.links),
      started_(now),
      heartbeat_at_(now) {
  SetWantedLinks(now);
}

void router_client::OnTick(time_point now) {
  if (now < heartbeat_at_) {
    return;
  }
  heartbeat_at_ = now + options_.links.heartbeat;
  links_.Check(now);
  IntroduceToAll();
  NoteContact(now);
  // Better an old state than none, if nobody can tell the newest.
  const bool waited = now - started_ >= options_.uncertain_wait;
  if (held_ == state_revision() && candidate_ && waited) {
    Take(candidate_->revision, candidate_->contents, false);
  }
}

void router_client::OnLinkUp(link_id link, time_point now) {
  links_.OnUp(link, now);
  port_.Send(link, introduction{.daemon = options_.daemon, .held = held_});
}

void router_client::OnLinkDown(link_id link, time_point now) {
  links_.OnDown(link);
  NoteContact(now);
}

void router_client::OnMessage(link_id link,
                              const message& message,
                              time_point now) {
  links_.OnHeard(link, now);
  NoteContact(now);
  if (const auto* update = std::get_if<state_update>(&message)) {
    if (update->leads && update->current) {
      collector_ = link;
    } else if (collector_ == link) {
      collector_.reset();
    }
  }
  std::visit([&](const auto& value) { Handle(value, now); }, message);
}

void router_client::SetSeeds(std::vector<endpoint> seeds, time_point now) {
  options_.seeds = std::move(seeds);
  SetWantedLinks(now);
}

void router_client::Handle(const introduction&, time_point) {
  // Control hosts introduce themselves to one another only.
}

void router_client::Handle(const quorum_envelope&, time_point) {
  // Routers have no part in the log.
}

void router_client::Handle(const load_report&, time_point) {
  // For control hosts only.
}

void router_client::Handle(const load_view& m, time_point) {
  view_.OnOthersLoad(m.others);
}

void router_client::ReportLoad(const admission::fleet_load& load) {
  if (collector_ && links_.IsUp(*collector_)) {
    port_.Send(*collector_,
               load_report{.daemon = options_.daemon, .load = load});
  }
}

void router_client::Handle(const state_update& m, time_point now) {
  if (m.current) {
    std::set<endpoint> hosts(m.control_hosts.begin(), m.control_hosts.end());
    if (!hosts.empty() && hosts != control_hosts_) {
      control_hosts_ = std::move(hosts);
      SetWantedLinks(now);
    }
    if (m.routers != routers_) {
      routers_ = m.routers;
      view_.OnRouters(routers_);
    }
  }
  if (m.revision <= held_) {
    return;
  }
  if (m.contents && (!candidate_ || candidate_->revision < m.revision)) {
    candidate_ = {
        .revision = m.revision, .contents = *m.contents, .since = now};
  }
  // A committed state may be told by a host that is not certain that it is the
  // newest; a router that holds an older one is better off with it.
  const bool take = m.current || held_ != state_revision();
  if (take && candidate_ && candidate_->revision == m.revision) {
    Take(m.revision, candidate_->contents, m.current);
  }
}

void router_client::Handle(const target_news& m, time_point now) {
  for (const heard_target& target : m.targets) {
    view_.OnTarget(target.announced,
                   now - std::chrono::milliseconds(target.age_ms));
  }
}

void router_client::Take(state_revision revision,
                         const state_contents& contents,
                         bool current) {
  held_ = revision;
  view_.OnState(revision, contents, current);
  candidate_.reset();
  IntroduceToAll();
}

void router_client::IntroduceToAll() {
  for (const link_id link : links_.Up()) {
    port_.Send(link, introduction{.daemon = options_.daemon, .held = held_});
  }
}

void router_client::SetWantedLinks(time_point now) {
  std::set<endpoint> wanted = control_hosts_;
  wanted.insert(options_.seeds.begin(), options_.seeds.end());
  links_.SetWanted(wanted, now);
}

void router_client::NoteContact(time_point now) {
  const bool in_contact = links_.AnyHeard(now);
  if (in_contact != std::exchange(in_contact_, in_contact)) {
    view_.OnContact(in_contact);
  }
}

}  // namespace burdocklock::control
