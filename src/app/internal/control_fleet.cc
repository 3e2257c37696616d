// Fleet membership of the control loop: links, planned outages and operators'
// orders.
#include <algorithm>
#include <chrono>

#include <boost/asio/post.hpp>

#include "app/control_loop.h"
#include "app/internal/router_options.h"
#include "peer/message_codec.h"

namespace burdocklock::app {

using std::chrono::steady_clock;

result<endpoint> control_loop::StartFleet() {
  if (feed_) {
    if (const result<void> started = feed_->Start(); !started) {
      return started.error();
    }
    Process([this](time_point now, routing::effects& out) {
      feed_->OnTick(now, out);
    });
    return endpoint{};
  }
  Process([this](time_point now, routing::effects& out) {
    CheckPlannedOutages(now, out);
    node_->OnTick(now, out);
  });
  if (settings_.peers.empty() && settings_.peer_listener.port == 0) {
    return endpoint{};
  }
  peers_ = std::make_unique<peer::peer_network>(
      io_, MakePeerOptions(settings_),
      peer::peer_handlers{
          .on_up =
              [this](std::uint64_t link) {
                logger_.Log(log_record("link_up").Add("link", link));
                Process([this, link](time_point now, routing::effects&) {
                  node_->OnLinkUp(fleet::link_id(link), now);
                });
              },
          .on_message =
              [this](std::uint64_t link, const std::string& bytes) {
                return OnPeerMessage(link, bytes);
              },
          .on_down =
              [this](std::uint64_t link, const std::string& detail) {
                logger_.Log(log_record("link_down", log_level::kWarning)
                                .Add("link", link)
                                .Add("detail", detail));
              }});
  std::string problem;
  const std::uint16_t port = peers_->Start(problem);
  if (port == 0) {
    return error{.code = error_code::kConnectionFailed,
                 .step = "listen for peers",
                 .peer = ToString(settings_.peer_listener),
                 .detail = problem};
  }
  metrics_.Gauge("burdocklock_peer_bytes_sent", [this] {
    return static_cast<double>(peers_->traffic().bytes_sent);
  });
  metrics_.Gauge("burdocklock_peer_bytes_received", [this] {
    return static_cast<double>(peers_->traffic().bytes_received);
  });
  metrics_.Gauge("burdocklock_peer_messages_sent", [this] {
    return static_cast<double>(peers_->traffic().messages_sent);
  });
  return endpoint{.address = settings_.peer_listener.address, .port = port};
}

void control_loop::StopFleet() {
  if (feed_) {
    feed_->Stop();
    timer_.cancel();
    return;
  }
  node_->EndLeave(steady_clock::now());
  if (peers_) {
    peers_->Stop();
  }
  timer_.cancel();
}

bool control_loop::OnPeerMessage(std::uint64_t link, const std::string& bytes) {
  dropped_entries dropped;
  const result<fleet::message> message = peer::Decode(bytes, dropped);
  if (dropped.count > 0) {
    logger_.Log(log_record("peer_entries_dropped", log_level::kWarning)
                    .Add("link", link)
                    .Add("count", dropped.count)
                    .Add("detail", dropped.problem));
  }
  if (!message) {
    logger_.Log(log_record("peer_message_malformed", log_level::kError)
                    .Add("link", link)
                    .Add("detail", message.error().detail));
    return false;
  }
  Process([&](time_point now, routing::effects& out) {
    node_->OnMessage(fleet::link_id(link), message.value(), now, out);
  });
  return true;
}

void control_loop::Send(fleet::link_id link, const fleet::message& message) {
  if (peers_) {
    peers_->Send(link.value(), peer::Encode(message));
  }
}

void control_loop::Reopen(fleet::link_id link) {
  if (!peers_) {
    return;
  }
  // Deferred because the node calls this while it handles an event.
  boost::asio::post(io_, [this, link] { peers_->Reopen(link.value()); });
}

void control_loop::CheckPlannedOutages(time_point now, routing::effects& out) {
  const wall_time wall = std::chrono::system_clock::now();
  for (const config::data_centre& entry : sheet_->contents().data_centres) {
    bool is_out = false;
    for (const config::outage_window& window : entry.planned_outages) {
      is_out |= window.from <= wall && wall < window.to;
    }
    node_->SetPlannedOutage(entry.id, is_out, now, out);
  }
}

bool control_loop::OrderDataCentre(const std::string& data_centre, bool out) {
  if (!node_) {
    // In this mode only control hosts accept these orders.
    return false;
  }
  const auto& known = sheet_->contents().data_centres;
  const bool exists = std::any_of(
      known.begin(), known.end(),
      [&](const auto& entry) { return entry.id.value() == data_centre; });
  if (!exists) {
    return false;
  }
  Process([&](time_point now, routing::effects& effects) {
    const auto order =
        node_->OrderDataCentre(data_centre_id(data_centre), out, now, effects);
    logger_.Log(log_record("data_centre_order")
                    .Add("data_centre", data_centre)
                    .Add("out", out)
                    .Add("version", order.version));
  });
  return true;
}

}  // namespace burdocklock::app
