// See the header.
#include "app/internal/operator_feed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include <boost/outcome/success_failure.hpp>

#include "routes/configuration_checks.h"

namespace burdocklock::app {

using std::chrono::steady_clock;

namespace {

// Routers assumed until the control hosts have told.
constexpr std::size_t kAssumedRouters = 4;
// Callers spread unevenly: a router may use this many times its even part of a
// target's slots.
constexpr double kSlotHeadroom = 1.6;
// Part of the fleet's retries that is handed out; the rest covers routers that
// have restarted and believe to have spent nothing.
constexpr double kRetryShare = 0.5;
constexpr std::chrono::milliseconds kLoadPeriod{200};
// A prompt of this size makes those behind it late unless others know of it.
constexpr std::uint64_t kTokensWorthReporting = 2000;
constexpr std::chrono::milliseconds kLeastLoadSpacing{25};
// The other routers' load counts for this time after it was heard.
constexpr std::chrono::milliseconds kLoadAge{1500};

control::router_client_options ClientOptions(const config::settings& settings) {
  return {.daemon = settings.daemon, .seeds = settings.control.hosts};
}

std::uint32_t ShareOfSlots(std::uint32_t slots, std::size_t routers) {
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
  SetShares();
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
    out_ = &out;
    now_ = now;
    handle(now);
    out_ = nullptr;
  });
}

void operator_feed::OnTick(time_point now, routing::effects& out) {
  out_ = &out;
  now_ = now;
  client_->OnTick(now);
  if (now >= load_at_) {
    ReportLoad(now);
  }
  if (now - others_heard_ >= kLoadAge && others_heard_ != time_point{}) {
    // What others do is not known any more.
    others_heard_ = {};
    router_.SetOthersLoad({}, now, out);
    router_.mutable_directory().SetLocalBacklogFraction(
        1.0 / static_cast<double>(routers_ == 0 ? kAssumedRouters : routers_));
  }
  if (!in_contact_) {
    // Nothing can be heard of targets either.
    router_.mutable_directory().RestartSilenceTimers(now);
  }
  out_ = nullptr;
}

void operator_feed::ReportLoad(time_point now) {
  load_at_ = now + kLoadPeriod;
  load_reported_ = now;
  reported_tokens_ = router_.directory().granted_tokens();
  client_->ReportLoad(router_.OwnLoad(now));
}

void operator_feed::AfterRouterEvent(time_point now) {
  const std::uint64_t news =
      router_.directory().granted_tokens() - reported_tokens_;
  if (client_ && news >= kTokensWorthReporting) {
    load_at_ = std::min(load_at_, load_reported_ + kLeastLoadSpacing);
    if (now >= load_at_) {
      ReportLoad(now);
    }
  }
}

time_point operator_feed::NextDeadline() const {
  return client_ ? std::min(client_->NextDeadline(), load_at_) : kNever;
}

void operator_feed::SetControlHosts(std::vector<endpoint> hosts) {
  Run([&](time_point now) { client_->SetSeeds(std::move(hosts), now); });
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
                  .Add("certain", current));
  if (contents.version != version_) {
    version_ = contents.version;
    TakeConfiguration(contents.document);
  }
  TakeOutages(contents.out);
}

void operator_feed::TakeConfiguration(const std::string& document) {
  result<routes::configuration> read = reader_.Read(document);
  const result<void> checked =
      read ? routes::Check(read.value()) : result<void>(read.error());
  if (!checked) {
    logger_.Log(log_record("configuration_unreadable", log_level::kError)
                    .Add("detail", checked.error().Message()));
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
  logger_.Log(
      log_record("configuration")
          .Add("version", version_)
          .Add("routes", table->contents().routes.size())
          .Add("customers", table->contents().customers.size())
          .Add("engine_throughput", table->contents().engine_throughput));
  const std::lock_guard lock(mutex_);
  routes_ = std::move(table);
}

void operator_feed::TakeOutages(const std::set<data_centre_id>& out) {
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
  const std::size_t routers = routers_ == 0 ? kAssumedRouters : routers_;
  // While the others' work is known, targets are shared by that.
  if (others_heard_ == time_point{}) {
    scaled.slots = ShareOfSlots(announcement.slots, routers);
  }
  scaled.cold_slots = std::min(announcement.cold_slots, scaled.slots);
  const targets::announce_result result =
      router_.OnAnnouncement(scaled, now_, *out_);
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
  routers_ = routers.size();
  router_.mutable_directory().SetRouters(routers);
  SetShares();
  logger_.Log(log_record("routers").Add("count", routers_));
}

void operator_feed::SetShares() {
  const std::size_t routers = routers_ == 0 ? kAssumedRouters : routers_;
  if (settings_.retries.fleet_budget > 0) {
    router_.SetRetryOptions(
        {.ratio = settings_.retries.budget_ratio * kRetryShare,
         .per_second = 0,
         .burst = settings_.retries.fleet_budget * kRetryShare /
                  static_cast<double>(routers)});
  }
}

void operator_feed::OnOthersLoad(const admission::fleet_load& others) {
  others_heard_ = now_;
  router_.SetOthersLoad(others, now_, *out_);
}

void operator_feed::OnContactChanged(bool in_contact) {
  in_contact_ = in_contact;
  logger_.Log(log_record(in_contact ? "control_regained" : "control_lost",
                         in_contact ? log_level::kInfo : log_level::kWarning));
}

}  // namespace burdocklock::app
