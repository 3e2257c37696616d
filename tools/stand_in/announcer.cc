// Sends announcements to all entry hosts, with simulated message loss and a
// delayed load report.
#include "stand_in/announcer.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <utility>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/net/http_client.h"

namespace burdocklock::stand_in {

namespace {

namespace http = net::http;

constexpr std::chrono::seconds kAnnounceTimeout{1};
constexpr std::uint32_t kLossResolution = 1000;

}  // namespace

std::uint64_t WallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::vector<endpoint> ParseEndpoints(const std::string& text) {
  std::vector<endpoint> endpoints;
  for (const std::string& part : SplitList(text)) {
    const std::optional<endpoint> parsed = ParseEndpoint(part);
    if (!parsed) {
      std::cerr << "invalid address, expected ip:port: " << part << '\n';
      std::exit(2);
    }
    endpoints.push_back(*parsed);
  }
  return endpoints;
}

announcer::announcer(boost::asio::io_context& io,
                     announcer_options options,
                     std::function<nlohmann::json()> describe,
                     std::function<nlohmann::json()> load)
    : io_(io),
      options_(std::move(options)),
      describe_(std::move(describe)),
      load_(std::move(load)) {}

void announcer::Run() {
  while (!stopped_) {
    AnnounceOnce();
    SleepFor(io_, options_.period);
  }
}

void announcer::AnnounceOnce() {
  nlohmann::json body = describe_();
  body["load"] = DelayedLoad();
  if (options_.numbered) {
    body["sequence"] = ++sequence_;
  }
  const std::string text = body.dump();
  for (const endpoint& host : options_.entry_hosts) {
    const std::uint32_t draw = ++send_count_ * 7919 % kLossResolution;
    if (draw < options_.loss * kLossResolution) {
      continue;
    }
    SpawnFiber([self = shared_from_this(), host, text] {
      net::http_request request(http::verb::post, "/v1/targets/announce", 11);
      request.set(http::field::host, ToString(host));
      request.set(http::field::authorization, "Bearer " + self->options_.token);
      request.set(http::field::content_type, "application/json");
      request.keep_alive(false);
      request.body() = text;
      const auto reply = net::Fetch(self->io_, host, request, kAnnounceTimeout);
      if (reply && reply.value().status >= 400) {
        std::cerr << "entry host rejected the announcement: "
                  << reply.value().body << '\n';
      }
    });
  }
}

nlohmann::json announcer::DelayedLoad() {
  const time_point now = std::chrono::steady_clock::now();
  nlohmann::json load = load_();
  load["at_ms"] = WallMilliseconds();
  load_history_.emplace_back(now, std::move(load));
  while (load_history_.size() > 1 &&
         load_history_[1].first <= now - options_.load_lag) {
    load_history_.pop_front();
  }
  nlohmann::json delayed = load_history_.front().second;
  // Entry hosts order announcements by the time of sending.
  delayed["at_ms"] = WallMilliseconds();
  return delayed;
}

}  // namespace burdocklock::stand_in
