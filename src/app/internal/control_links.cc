// See the header.
#include "app/internal/control_links.h"

#include <utility>
#include <variant>

#include <boost/asio/post.hpp>
#include <boost/outcome/success_failure.hpp>

#include "control/message_codec.h"

namespace burdocklock::app {

namespace {

// Must hold a snapshot with the largest configuration.
constexpr std::size_t kMaxMessageBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kReconnectMs = 200;

struct delivery_visitor {
  // Replaced by the next one, which follows within half a second.
  peer::delivery operator()(const control::load_report&) const {
    return peer::delivery::kReplaceable;
  }
  peer::delivery operator()(const control::load_summary&) const {
    return peer::delivery::kReplaceable;
  }
  peer::delivery operator()(const control::quorum_envelope&) const {
    return peer::delivery::kUrgent;
  }
  template <typename Other>
  peer::delivery operator()(const Other&) const {
    return peer::delivery::kRequired;
  }
};

peer::delivery DeliveryOf(const control::message& message) {
  return std::visit(delivery_visitor{}, message);
}

}  // namespace

control_links::control_links(boost::asio::io_context& io,
                             const endpoint& listen,
                             i_logger& logger)
    : io_(io), listen_(listen), logger_(logger) {
  peer::peer_options options{.listen_address = listen.address,
                             .listen_port = listen.port,
                             .peers = {},
                             .max_message_bytes = kMaxMessageBytes,
                             .reconnect_ms = kReconnectMs,
                             .listen = listen.port != 0};
  network_ = std::make_unique<peer::peer_network>(
      io, options,
      peer::peer_handlers{
          .on_up =
              [this](std::uint64_t link) {
                logger_.Log(log_record("link_up").Add("link", link));
                handlers_.on_up(control::link_id(link));
              },
          .on_message =
              [this](std::uint64_t link, const std::string& bytes) {
                return Receive(link, bytes);
              },
          .on_down =
              [this](std::uint64_t link, const std::string& detail) {
                logger_.Log(log_record("link_down", log_level::kWarning)
                                .Add("link", link)
                                .Add("detail", detail));
                handlers_.on_down(control::link_id(link));
              },
          .on_limit = [this](bool is_reached) { LogLimit(is_reached); }});
}

control_links::~control_links() = default;

result<void> control_links::Start(control_link_handlers handlers) {
  handlers_ = std::move(handlers);
  std::string problem;
  network_->Start(problem);
  if (!problem.empty()) {
    return error{.code = error_code::kConnectionFailed,
                 .step = "listen for links",
                 .peer = ToString(listen_),
                 .detail = problem};
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void control_links::Stop() {
  network_->Stop();
}

bool control_links::Receive(std::uint64_t link, const std::string& bytes) {
  dropped_entries dropped;
  const result<control::message> message = control::Decode(bytes, dropped);
  if (dropped.count > 0) {
    logger_.Log(log_record("link_entries_dropped", log_level::kWarning)
                    .Add("link", link)
                    .Add("count", dropped.count)
                    .Add("detail", dropped.problem));
  }
  if (!message) {
    logger_.Log(log_record("link_message_malformed", log_level::kError)
                    .Add("link", link)
                    .Add("detail", message.error().detail));
    return false;
  }
  if (const auto* other =
          std::get_if<control::unrecognised_message>(&message.value())) {
    logger_.Log(log_record("link_message_unrecognised", log_level::kDebug)
                    .Add("link", link)
                    .Add("kind", other->kind));
  }
  handlers_.on_message(control::link_id(link), message.value());
  return true;
}

control::link_id control_links::Open(const endpoint& peer) {
  return control::link_id(network_->Open("ws://" + ToString(peer)));
}

void control_links::Reopen(control::link_id link) {
  // Deferred because this may be called while an event of the link is handled.
  boost::asio::post(io_, [this, link] { network_->Reopen(link.value()); });
}

void control_links::Close(control::link_id link) {
  boost::asio::post(io_, [this, link] { network_->Close(link.value()); });
}

void control_links::Send(control::link_id link,
                         const control::message& message) {
  network_->Send(link.value(), control::Encode(message), DeliveryOf(message));
}

void control_links::SendToAll(const std::vector<control::link_id>& links,
                              const control::message& message) {
  if (links.empty()) {
    return;
  }
  const std::string bytes = control::Encode(message);
  std::vector<std::uint64_t> numbers;
  numbers.reserve(links.size());
  for (const control::link_id link : links) {
    numbers.push_back(link.value());
  }
  network_->SendToAll(numbers, bytes, DeliveryOf(message));
}

bool control_links::HasRoom(control::link_id link) const {
  return network_->HasRoom(link.value());
}

void control_links::LogLimit(bool is_reached) {
  logger_.Log(log_record(is_reached ? "link_memory_short" : "link_memory_free",
                         is_reached ? log_level::kWarning : log_level::kInfo)
                  .Add("bytes", network_->UnsentBytes())
                  .Add("refused", network_->RefusedForSum()));
}

std::size_t control_links::UnsentBytes() const {
  return network_->UnsentBytes();
}

std::uint64_t control_links::RefusedForSum() const {
  return network_->RefusedForSum();
}

const peer::peer_traffic& control_links::traffic() const {
  return network_->traffic();
}

}  // namespace burdocklock::app
