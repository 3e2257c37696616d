// See the header.
#include "app/internal/operator_feed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>
#include <utility>

#include <boost/outcome/success_failure.hpp>

#include "routes/caller_access.h"
#include "routes/configuration_checks.h"

namespace burdocklock::app {

using std::chrono::steady_clock;

namespace {

constexpr double kThousandths = 1000;
// Number of routers assumed until the control hosts have reported it.
constexpr std::size_t kDefaultRouterCount = 4;
// Callers are distributed unevenly, so a router may use this multiple of its
// equal share of a target's slots.
constexpr double kSlotHeadroom = 1.6;
// Fraction of the fleet's retry budget that is distributed to the routers. The
// rest covers restarted routers, which no longer know what they have spent.
constexpr double kRetryBudgetFraction = 0.5;
// Without contact to control hosts, routers on the other side may have taken
// over this router's share of a target's rate limit.
constexpr double kRateFractionAlone = 0.5;
constexpr std::chrono::milliseconds kLoadReportInterval{200};
// What versions in rollout answered goes with a load report, but not with those
// that are ahead of schedule.
constexpr std::chrono::milliseconds kOutcomesInterval{190};
// That interval grows with every so many routes, for the bytes.
constexpr std::size_t kRoutesPerOutcomesInterval = 8;
// A prompt of this size delays the requests queued behind it unless the other
// routers know of it.
constexpr std::uint64_t kReportThresholdTokens = 2000;
constexpr std::chrono::milliseconds kMinLoadReportInterval{25};
// That interval grows by itself with every so many routers, as the control host
// has all their reports to read and sums them up as seldom.
constexpr std::size_t kRoutersPerLoadInterval = 16;
// Evidence is collected for this long, as all requests of a target that ends
// fail at once.
constexpr std::chrono::milliseconds kMinEvidenceInterval{20};
constexpr std::chrono::seconds kContentionLogInterval{1};
// How long the other routers' load stays valid after it was received.
constexpr std::chrono::milliseconds kOthersLoadTimeout{1500};

std::string HexName(stream_key key) {
  std::ostringstream name;
  name << std::hex << key.value();
  return name.str();
}

control::router_client_options ClientOptions(const config::settings& settings) {
  return {.daemon = settings.daemon, .seeds = settings.control.hosts};
}

std::uint32_t RouterSlotShare(std::uint32_t slots, std::size_t routers) {
  const double share =
      std::min(1.0, kSlotHeadroom / static_cast<double>(routers));
  return std::max(1U, static_cast<std::uint32_t>(std::ceil(slots * share)));
}

}  // namespace

operator_feed::operator_feed(boost::asio::io_context& io,
                             const config::settings& settings,
                             const routes::i_configuration_reader& reader,
                             routing::request_router& router,
                             i_logger& logger,
                             event_runner run)
    : settings_(settings),
      reader_(reader),
      router_(router),
      logger_(logger),
      run_(std::move(run)),
      links_(io, endpoint{}, logger) {
  router_.mutable_directory().SetRateFraction(kRateFractionAlone);
  UpdateRetryBudget();
}

result<void> operator_feed::Start() {
  auto started = links_.Start(
      {.on_up =
           [this](control::link_id link) {
             Run([&](time_point now) { client_->OnLinkUp(link, now); });
           },
       .on_down =
           [this](control::link_id link) {
             Run([&](time_point now) { client_->OnLinkDown(link, now); });
           },
       .on_message =
           [this](control::link_id link, const control::message& message) {
             Run([&](time_point now) {
               client_->OnMessage(link, message, now);
             });
           }});
  if (started) {
    client_ = std::make_unique<control::router_client>(
        ClientOptions(settings_), links_, *this, steady_clock::now());
  }
  return started;
}

void operator_feed::Stop() {
  links_.Stop();
}

void operator_feed::Run(const std::function<void(time_point now)>& handle) {
  run_([&](time_point now, routing::effects& out) {
    // A link may go down while another event is handled.
    routing::effects* const outer = std::exchange(out_, &out);
    now_ = now;
    handle(now);
    out_ = outer;
  });
}

void operator_feed::OnTick(time_point now, routing::effects& out) {
  out_ = &out;
  now_ = now;
  client_->OnTick(now);
  if (now >= next_load_report_) {
    ReportLoad(now);
  }
  if (now >= next_evidence_) {
    SendEvidence(now);
  }
  if (now - others_load_received_ >= kOthersLoadTimeout &&
      others_load_received_ != time_point{}) {
    // The other routers' load is no longer known.
    others_load_received_ = {};
    others_demand_.reset();
    router_.SetOthersLoad({}, now, out);
    router_.mutable_directory().SetUnknownCompetition(
        1.0 / static_cast<double>(router_count_ == 0 ? kDefaultRouterCount
                                                     : router_count_));
  }
  if (!in_contact_) {
    // Without contact to a control host, no unreported_tokens of targets can
    // arrive either, so their silence must not count against them.
    router_.mutable_directory().RestartSilenceTimers(now);
  }
  out_ = nullptr;
}

void operator_feed::ReportLoad(time_point now) {
  next_load_report_ = now + kLoadReportInterval;
  last_load_report_ = now;
  reported_tokens_ = router_.directory().granted_tokens();
  std::vector<rollouts::rollout_outcomes> outcomes;
  if (now >= next_outcomes_) {
    outcomes = router_.RolloutOutcomes();
    std::size_t routes = 0;
    for (const rollouts::rollout_outcomes& of_pool : outcomes) {
      routes += of_pool.routes.size();
    }
    const auto intervals =
        static_cast<std::int64_t>(1 + routes / kRoutesPerOutcomesInterval);
    next_outcomes_ = now + kOutcomesInterval * intervals;
  }
  admission::fleet_load own = router_.OwnLoad(now);
  if (arrived_cost_) {
    own.calls = arrival_rate_.Update(arrived_cost_(), now) / kThousandths;
  }
  own_demand_ = admission::DemandOf(own);
  client_->ReportLoad(own, std::move(outcomes));
  if (now >= next_contention_log_) {
    next_contention_log_ = now + kContentionLogInterval;
    LogContention(now);
  }
}

void operator_feed::LogContention(time_point now) {
  for (const auto& load : router_.ContendedPools(now)) {
    log_record record("contention");
    record.Add("pool", load.pool.value())
        .Add("demand", load.flow.demand)
        .Add("started", load.flow.started)
        .Add("capacity", load.flow.capacity)
        .Add("waiting", load.waiting)
        .Add("waiting_tokens", load.waiting_tokens)
        .Add("own_fraction", load.own_fraction)
        .Add("waiting_elsewhere", load.flow.waiting_elsewhere);
    if (load.share) {
      record.Add("share", *load.share);
    }
    logger_.Log(record);
  }
  for (const auto& load : router_.SharedPools(now)) {
    if (load.waiting == 0) {
      continue;
    }
    logger_.Log(log_record("slot_time")
                    .Add("pool", load.pool.value())
                    .Add("demand", load.demand)
                    .Add("demand_elsewhere", load.demand_elsewhere)
                    .Add("allowance", load.allowance)
                    .Add("waiting", load.waiting));
  }
}

void operator_feed::SendEvidence(time_point now) {
  next_evidence_ = kNever;
  last_evidence_ = now;
  client_->SendEvidence(router_.mutable_guard().TakeNews());
}

void operator_feed::AfterRouterEvent(time_point now) {
  if (client_ && router_.guard().has_news()) {
    next_evidence_ = last_evidence_ + kMinEvidenceInterval;
    if (now >= next_evidence_) {
      SendEvidence(now);
    }
  }
  const std::uint64_t unreported_tokens =
      router_.directory().granted_tokens() - reported_tokens_;
  if (client_ && unreported_tokens >= kReportThresholdTokens) {
    const auto intervals =
        static_cast<std::int64_t>(1 + router_count_ / kRoutersPerLoadInterval);
    next_load_report_ =
        std::min(next_load_report_,
                 last_load_report_ + kMinLoadReportInterval * intervals);
    if (now >= next_load_report_) {
      ReportLoad(now);
    }
  }
}

std::optional<double> operator_feed::DemandOverMean() const {
  return others_demand_ && router_count_ > 0
             ? admission::DemandOverMean(own_demand_, *others_demand_,
                                         router_count_)
             : std::nullopt;
}

time_point operator_feed::NextDeadline() const {
  return client_ ? std::min({client_->NextDeadline(), next_load_report_,
                             next_evidence_})
                 : kNever;
}

void operator_feed::SetControlHosts(std::vector<endpoint> hosts) {
  Run([&](time_point now) { client_->SetSeeds(std::move(hosts), now); });
}

void operator_feed::RecordStream(const streams::stream_record& record,
                                 time_point now) {
  client_->RecordStream(record, now);
}

void operator_feed::AskStreamOrigin(stream_key key, time_point now) {
  client_->AskStreamOrigin(key, now);
}

std::shared_ptr<const routes::route_index> operator_feed::Routes() const {
  const std::lock_guard lock(mutex_);
  return routes_;
}

void operator_feed::OnState(control::state_revision revision,
                            const control::state_contents& contents,
                            bool current) {
  logger_.Log(log_record("state")
                  .Add("revision", revision.value())
                  .Add("version", contents.version)
                  .Add("data_centres_out", contents.out.size())
                  .Add("rollouts", contents.rollouts.size())
                  .Add("certain", current));
  if (contents.version != version_) {
    version_ = contents.version;
    ApplyConfiguration(contents.document);
  }
  ApplyOutages(contents.out);
  router_.SetRollouts(contents.rollouts, now_, *out_);
}

void operator_feed::ApplyConfiguration(const std::string& document) {
  result<routes::configuration> read = reader_.Read(document);
  const result<void> checked =
      read ? routes::Check(read.value()) : result<void>(read.error());
  if (!checked) {
    logger_.Log(log_record("configuration_unreadable", log_level::kError)
                    .Add("version", version_)
                    .Add("detail", checked.error().Message()));
    // What only the version before allows must not be served any more.
    SetRoutes(nullptr);
    return;
  }
  auto table =
      std::make_shared<const routes::route_index>(std::move(read.value()));
  for (const routes::service_terms& terms : table->contents().services) {
    targets::target_directory& directory = router_.mutable_directory();
    directory.SetColdLimits(terms.service,
                            {.rate = terms.cold_rate, .time = terms.cold_time});
    directory.SetCacheCapacity(terms.service, terms.memory_tokens);
    directory.SetPrefixCopying(terms.service, terms.copies_prompts);
    if (terms.memory_tokens > 0) {
      router_.SetPoolThroughput(terms.service,
                                table->contents().engine_throughput);
    }
  }
  LogConfiguration(*table);
  SetRoutes(std::move(table));
}

void operator_feed::SetRoutes(
    std::shared_ptr<const routes::route_index> routes) {
  const std::lock_guard lock(mutex_);
  routes_ = std::move(routes);
}

void operator_feed::LogConfiguration(const routes::route_index& table) const {
  const routes::configuration& applied = table.contents();
  logger_.Log(log_record("configuration")
                  .Add("version", version_)
                  .Add("routes", applied.routes.size())
                  .Add("keys_needed", table.needs_keys())
                  .Add("customers", routes::CustomersOf(applied.access).size())
                  .Add("keys", table.key_count())
                  .Add("engine_throughput", applied.engine_throughput));
  if (table.needs_keys() && table.key_count() == 0) {
    logger_.Log(log_record("no_key_accepted", log_level::kWarning)
                    .Add("version", version_));
  }
}

void operator_feed::ApplyOutages(const std::set<data_centre_id>& out) {
  for (const data_centre_id& data_centre : out) {
    if (!out_of_service_.contains(data_centre)) {
      router_.SetDataCentreOut(data_centre, true, now_, *out_);
    }
  }
  for (const data_centre_id& data_centre : out_of_service_) {
    if (!out.contains(data_centre)) {
      router_.SetDataCentreOut(data_centre, false, now_, *out_);
    }
  }
  out_of_service_ = out;
}

void operator_feed::OnTarget(const targets::announcement& announcement,
                             time_point heard) {
  targets::announcement scaled = announcement;
  const std::size_t routers =
      router_count_ == 0 ? kDefaultRouterCount : router_count_;
  // While the other routers' load is known, slots are shared according to it.
  // What was last known of the demand on small targets stays in force.
  if (others_load_received_ == time_point{} &&
      !router_.directory().SharesSlotTime(announcement)) {
    scaled.slots = RouterSlotShare(announcement.slots, routers);
  }
  scaled.cold_slots = std::min(announcement.cold_slots, scaled.slots);
  const targets::announce_result result =
      router_.OnAnnouncement(scaled, heard, now_, *out_);
  if (result == targets::announce_result::kStale ||
      (result == targets::announce_result::kUpdated &&
       announcement.state == targets::target_state::kReady)) {
    return;
  }
  logger_.Log(log_record("target")
                  .Add("target", announcement.target.value())
                  .Add("incarnation", announcement.life.value())
                  .Add("sequence", announcement.sequence)
                  .Add("state", ToString(announcement.state))
                  .Add("slots", scaled.slots)
                  .Add("age_ms", ToMilliseconds(now_ - heard))
                  .Add("result", ToString(result)));
}

void operator_feed::OnRouters(const std::vector<daemon_id>& routers) {
  router_count_ = routers.size();
  router_.mutable_directory().SetRouters(routers);
  UpdateRetryBudget();
  logger_.Log(log_record("routers").Add("count", router_count_));
}

void operator_feed::UpdateRetryBudget() {
  const std::size_t routers =
      router_count_ == 0 ? kDefaultRouterCount : router_count_;
  if (settings_.retries.fleet_budget > 0) {
    router_.SetRetryOptions(
        {.ratio = settings_.retries.budget_ratio * kRetryBudgetFraction,
         .per_second = 0,
         .burst = settings_.retries.fleet_budget * kRetryBudgetFraction /
                  static_cast<double>(routers)});
  }
}

void operator_feed::OnOthersLoad(const admission::fleet_load& others) {
  others_load_received_ = now_;
  others_demand_ = admission::DemandOf(others);
  router_.SetOthersLoad(others, now_, *out_);
}

void operator_feed::OnRolloutParts(
    const std::vector<rollouts::rollout_part>& parts) {
  router_.SetRolloutParts(parts, now_);
}

void operator_feed::OnEvidence(const crashes::evidence& received) {
  router_.OnEvidence(received, now_, *out_);
}

crashes::evidence operator_feed::KnownEvidence() const {
  return router_.guard().KnownEvidence(now_);
}

void operator_feed::OnStreamOrigin(
    stream_key key,
    const std::optional<streams::stream_origin>& origin) {
  logger_.Log(log_record("stream_origin", log_level::kDebug)
                  .Add("stream", HexName(key))
                  .Add("known", origin.has_value()));
  router_.OnStreamOrigin(key, origin, now_, *out_);
}

void operator_feed::OnStreamContradiction(
    const streams::stream_record& contradicting) {
  logger_.Log(log_record("stream_contradiction", log_level::kError)
                  .Add("stream", HexName(contradicting.key))
                  .Add("pool", contradicting.origin.pool.value())
                  .Add("version", contradicting.origin.version.value()));
}

void operator_feed::OnContactChanged(bool in_contact) {
  in_contact_ = in_contact;
  router_.mutable_directory().SetRateFraction(in_contact ? 1
                                                         : kRateFractionAlone);
  router_.mutable_guard().SetContact(in_contact, now_);
  logger_.Log(log_record(in_contact ? "control_regained" : "control_lost",
                         in_contact ? log_level::kInfo : log_level::kWarning));
}

}  // namespace burdocklock::app
