// See the header.
#include "app/internal/settings_watch.h"

#include <chrono>
#include <utility>

namespace burdocklock::app {

namespace {

// Interval at which settings are polled; bounds the delay until a change made
// without a signal is detected.
constexpr std::chrono::seconds kPollInterval{2};

}  // namespace

settings_watch::settings_watch(boost::asio::io_context& io,
                               settings_source reread,
                               i_logger& logger,
                               change_handler on_change)
    : reread_(std::move(reread)),
      logger_(logger),
      on_change_(std::move(on_change)),
      timer_(io) {}

void settings_watch::Start() {
  if (!reread_) {
    return;
  }
  if (const auto current = reread_()) {
    current_ = current.value();
  }
  Schedule();
}

void settings_watch::Stop() {
  timer_.cancel();
}

void settings_watch::Schedule() {
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    Reload("period");
    Schedule();
  });
}

void settings_watch::Reload(const std::string& cause) {
  if (!reread_) {
    return;
  }
  const result<config::settings> read = reread_();
  if (!read) {
    logger_.Log(log_record("settings_unreadable", log_level::kError)
                    .Add("cause", cause)
                    .Add("detail", read.error().Message()));
    return;
  }
  if (read.value() == current_) {
    return;
  }
  current_ = read.value();
  logger_.Log(log_record("settings_reloaded")
                  .Add("cause", cause)
                  .Add("control_hosts", current_.control.hosts.size()));
  on_change_(current_);
}

}  // namespace burdocklock::app
