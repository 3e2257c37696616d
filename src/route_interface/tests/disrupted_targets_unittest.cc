// Targets fall silent and go on, turn requests away, leave, close kept
// connections and answer twice or early while the configuration changes, over
// loopback: each whole request gets its whole answer or a refusal, or its
// target breaks off. Besides, software versions of targets follow one another
// while entries that cannot be read come among the announcements: no answer
// holds events of two versions.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "framework/seeded_random.h"
#include "route_interface/tests/disruptive_target.h"
#include "route_interface/tests/route_path_fixture.h"
#include "route_interface/tests/whole_request_callers.h"

namespace burdocklock::route_interface {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kSeeds = 4;
constexpr std::uint32_t kSeedStep = whole_request_callers::kSeedStep;
constexpr std::size_t kTargets = 3;
constexpr int kCallers = 60;
constexpr seconds kDuration{8};
constexpr seconds kReadLimit{12};
// Time limit of streams; they last 0.7 s without silences.
constexpr milliseconds kStreamLimit{7000};
constexpr milliseconds kShortestIdle{400};

app::router_changes SmallBudget() {
  return {.settings = [](config::settings& settings) {
    settings.timeouts.connect = milliseconds(400);
    settings.timeouts.between_tokens = milliseconds(1500);
    settings.retries.budget_ratio = 0.1;
    settings.retries.fleet_budget = 10;
  }};
}

// The configuration changes.
struct disrupted_path_fixture : route_path_fixture {
  std::atomic<std::uint64_t> version{1};
  // Of streams, in a changed configuration.
  std::uint32_t fewest_attempts = 1;
  whole_request_callers callers;

  explicit disrupted_path_fixture(const app::router_changes& changes)
      : route_path_fixture(changes) {
    callers.idle.Sent(kShortestIdle);
    json first = Configuration(1);
    first["routes"][2]["timeout_ms"] = kStreamLimit.count();
    REQUIRE(Until([&] {
      return Command(http::verb::put, "/v1/configuration", kOperatorToken,
                     first.dump())
                 .status == 200;
    }));
  }

  json Changed(std::uint64_t version, seeded_random& random) const {
    json changed = Configuration(version);
    changed["limits"] = {
        {"idle_timeout_ms", kShortestIdle.count() + random.Below(2000)},
        {"read_timeout_ms", 1500 + random.Below(1500)}};
    json& talk = changed["routes"][2];
    talk["timeout_ms"] = kStreamLimit.count();
    talk["resumable"] = random.Below(4) != 0;
    talk["max_attempts"] = fewest_attempts + random.Below(3);
    switch (random.Below(8)) {
      case 0:
        changed["routes"].erase(random.Below(3));
        break;
      case 1:
        changed["customers"][0]["keys"] = {"other"};
        break;
      case 2:
        changed["routes"][random.Below(2)]["timeout_ms"] =
            50 + random.Below(3000);
        break;
      default:
        break;
    }
    return changed;
  }
  void ChangeUntilOver(std::uint32_t seed) {
    seeded_random random(seed);
    while (!callers.over) {
      Command(http::verb::put, "/v1/configuration", kOperatorToken,
              Changed(++version, random).dump());
      std::this_thread::sleep_for(milliseconds(50 + random.Below(300)));
    }
  }
  static whole_request Draw(seeded_random& random,
                            int caller,
                            int number,
                            std::uint32_t breaking_stream_every = 6) {
    constexpr std::array kRoutes = {"orders", "stock", "talk"};
    constexpr std::uint32_t kWholePlans = 7;
    const std::uint32_t route = random.Below(3);
    const std::uint32_t plan =
        route == 2 ? kWholePlans + (random.Below(breaking_stream_every) == 0)
                   : random.Below(kWholePlans);
    whole_request request;
    request.path = std::string("/") + kRoutes[route] + "/" +
                   kTargetPlans[plan] + "-" +
                   std::to_string(random.Below(1000));
    request.id = "c" + std::to_string(caller) + "-" + std::to_string(number);
    request.body.assign(random.Below(4) == 0 ? 200'000 : 10, 'x');
    return request;
  }
};

struct disrupted_targets_fixture : disrupted_path_fixture {
  std::array<disruptive_target, kTargets> targets;
  std::uint64_t life = 1;

  disrupted_targets_fixture() : disrupted_path_fixture(SmallBudget()) {
    // Targets announce themselves again and again, as the first announcements
    // may come before a control host leads.
    REQUIRE(Until([&] {
      AnnounceAll("ready");
      return CallRoute("/stock/whole-0").status == 200;
    }));
  }

  // The last target is in that state, the others are ready.
  void AnnounceAll(const std::string& state) {
    for (std::size_t i = 0; i < kTargets; ++i) {
      const bool last = i + 1 == kTargets;
      json announcement =
          Announcement("t" + std::to_string(i), targets[i].address());
      announcement["slots"] = 16;
      announcement["cold_slots"] = 16;
      announcement["incarnation"] = last ? life : 1;
      announcement["state"] = last ? state : "ready";
      Command(http::verb::post, "/v1/targets/announce", kTargetToken,
              announcement.dump());
    }
  }
  void DisruptUntilOver(std::uint32_t seed) {
    seeded_random random(seed);
    while (!callers.over) {
      const milliseconds silence(1000 + random.Below(1000));
      switch (random.Below(4)) {
        case 0:
          std::for_each(targets.begin(), targets.end(),
                        [&](auto& target) { target.FallSilent(silence); });
          break;
        case 1:
          targets.back().SetLeaving(true);
          AnnounceAll("leaving");
          std::this_thread::sleep_for(milliseconds(400));
          targets.back().SetLeaving(false);
          ++life;
          break;
        default:
          targets[random.Below(kTargets)].FallSilent(silence);
          break;
      }
      AnnounceAll("ready");
      std::this_thread::sleep_for(milliseconds(500 + random.Below(2000)));
    }
  }

  static bool MayBeCut(const whole_request& request,
                       const broken_exchange& broken) {
    return HasPlan(request.path, target_plan::kBreaksOff) ||
           (HasPlan(request.path, target_plan::kStreams) &&
            steady_clock::now() - broken.began >= kStreamLimit);
  }
  static bool IsWhole(const whole_request& request, const std::string& body) {
    std::string expected = "whole " + request.id;
    if (request.path.starts_with("/talk/")) {
      expected.clear();
      for (int i = 1; i <= kStreamEvents; ++i) {
        expected += StreamEvent(i);
      }
    }
    return body == expected;
  }
  void RunCallers(std::uint32_t seed) {
    callers.Run(
        addresses.callers,
        {.callers = kCallers,
         .duration = kDuration,
         .read_limit = kReadLimit,
         .longest_pause_ms = 1000,
         .draw = [](seeded_random& random, int caller,
                    int number) { return Draw(random, caller, number); },
         .may_be_cut = MayBeCut,
         .is_whole = IsWhole},
        seed);
  }
};

TEST_CASE_METHOD(disrupted_targets_fixture,
                 "targets misbehave while the configuration changes: each "
                 "whole request gets a whole answer or a refusal") {
  const std::uint32_t seed = GENERATE(range(1, kSeeds + 1));
  INFO("seed " << seed);
  std::thread changer([this, seed] { ChangeUntilOver(seed * kSeedStep); });
  std::thread disrupter(
      [this, seed] { DisruptUntilOver(seed * kSeedStep + kSeedStep / 2); });
  std::thread calls([this, seed] { RunCallers(seed); });
  calls.join();
  changer.join();
  disrupter.join();
  callers.Check(seed, version);
}

app::router_changes LargeBudget() {
  return {.settings = [](config::settings& settings) {
    settings.timeouts.connect = milliseconds(400);
    settings.timeouts.between_tokens = milliseconds(1500);
    settings.retries.budget_ratio = 1;
    settings.retries.fleet_budget = 1000;
  }};
}

constexpr std::size_t kMegabyte = 1'000'000;

// Members of an announcement as JSON text, each alone cause enough to refuse
// it; a member without text is left out.
std::vector<std::pair<std::string, std::string>> OddMembers() {
  std::vector<std::pair<std::string, std::string>> odd;
  for (const char* member :
       {"slots", "sequence", "incarnation", "cold_for_ms"}) {
    for (const char* number : {"18446744073709551615", "18446744073709551616",
                               "1e300", "1.5", "-1"}) {
      odd.emplace_back(member, number);
    }
  }
  for (const char* address :
       {"127.0.0.1:70000", "127.0.0.1:0", "127.0.0.1:-1"}) {
    odd.emplace_back("address", std::string("\"") + address + '"');
  }
  for (const char* member :
       {"target", "incarnation", "data_centre", "kind", "service", "address",
        "state", "slots", "cold_slots", "sequence"}) {
    odd.emplace_back(member, "");
  }
  for (const char* member : {"target", "version", "service", "other"}) {
    odd.emplace_back(member, "\"\xff\xfe\"");
    odd.emplace_back(member, std::string(kMegabyte / 2, '[') +
                                 std::string(kMegabyte / 2, ']'));
    odd.emplace_back(member, std::string(kMegabyte, '['));
  }
  return odd;
}

// Three targets of each software version: those of the next one come, the old
// ones leave, close and go away.
struct released_targets_fixture : disrupted_path_fixture {
  static constexpr std::size_t kTargetsOfVersion = 3;
  static constexpr seconds kRun{3};
  // A pause lasts about as long as a target.
  static constexpr int kPauseEvery = 20;
  static constexpr milliseconds kAnnounceInterval{100};

  struct released_target {
    std::string name;
    std::string software;
    std::unique_ptr<disruptive_target> target;
    std::string state = "ready";
  };

  std::vector<released_target> released;
  // What odd entries are made from.
  const json sound_entry = Announcement("odd", {.port = 1});
  std::atomic<int> release = 0;
  std::atomic<int> odd_entries = 0;
  // Streams that wait for an announcement of their targets must get one.
  std::atomic<bool> calls_ended = false;
  // Answers to announcements that should have been another.
  std::mutex mutex;
  std::vector<std::string> wrong_replies;
  // Software versions of which a target has closed, or is about to.
  std::set<std::string> closed;
  time_point last_closed;
  // Of the callers' thread.
  std::set<std::string> served;
  int gone_on = 0;
  int broken_off = 0;

  released_targets_fixture() : disrupted_path_fixture(LargeBudget()) {
    fewest_attempts = 2;
    AddRelease();
    REQUIRE(Until([&] {
      AnnounceAll();
      return CallRoute("/stock/whole-0").status == 200;
    }));
    wrong_replies.clear();
  }

  void AddRelease() {
    const std::string software = "v" + std::to_string(++release);
    for (std::size_t i = 0; i < kTargetsOfVersion; ++i) {
      released.push_back({.name = software + "-" + std::to_string(i),
                          .software = software,
                          .target = std::make_unique<disruptive_target>(
                              software, kPauseEvery)});
    }
  }
  void ExpectReply(unsigned expected, unsigned status, const std::string& of) {
    if (status != expected) {
      const std::lock_guard lock(mutex);
      wrong_replies.push_back(std::to_string(status) + ": " +
                              of.substr(0, 300));
    }
  }
  void AnnounceAll() {
    for (const released_target& each : released) {
      json entry = Announcement(each.name, each.target->address());
      entry["slots"] = 16;
      entry["cold_slots"] = 16;
      entry["version"] = each.software;
      entry["state"] = each.state;
      ExpectReply(200, Post(entry.dump()), entry.dump());
    }
  }
  // As targets do, repeats what is not answered in time.
  unsigned Post(const std::string& entry) const {
    constexpr int kTries = 5;
    unsigned status = 0;
    for (int i = 0; i < kTries && status == 0; ++i) {
      status =
          Command(http::verb::post, "/v1/targets/announce", kTargetToken, entry)
              .status;
    }
    return status;
  }
  void AnnounceFor(milliseconds time) {
    const time_point until = steady_clock::now() + time;
    do {
      AnnounceAll();
      std::this_thread::sleep_for(kAnnounceInterval);
    } while (steady_clock::now() < until);
  }
  void CloseFirst(bool withdraws) {
    released_target& first = released.front();
    first.target->SetLeaving(true);
    first.state = "leaving";
    AnnounceFor(milliseconds(100));
    if (withdraws) {
      Command(http::verb::post, "/v1/targets/withdraw", kTargetToken,
              json({{"target", first.name}}).dump());
    }
    {
      const std::lock_guard lock(mutex);
      closed.insert(first.software);
      last_closed = steady_clock::now();
    }
    released.erase(released.begin());
  }
  void ReleaseUntilEnded(std::uint32_t seed) {
    seeded_random random(seed);
    while (!calls_ended) {
      AddRelease();
      AnnounceFor(milliseconds(200 + random.Below(200)));
      if (random.Below(2) == 0) {
        released[random.Below(released.size())].target->FallSilent(
            milliseconds(200 + random.Below(400)));
      }
      for (std::size_t i = 0; i < kTargetsOfVersion; ++i) {
        CloseFirst(random.Below(2) == 0);
        AnnounceFor(milliseconds(random.Below(200)));
      }
    }
  }
  void SendOddEntriesUntilOver(std::uint32_t seed) {
    seeded_random random(seed);
    const auto odd = OddMembers();
    for (std::size_t i = random.Below(odd.size()); !callers.over; ++i) {
      const auto& [member, text] = odd[i % odd.size()];
      // Some have the name of a target that serves.
      json entry = sound_entry;
      if (random.Below(2) == 0) {
        entry["target"] = "v" + std::to_string(release) + "-0";
      }
      entry["sequence"] = 1'000'000 + i;
      entry.erase(member);
      std::string bytes = entry.dump();
      if (!text.empty()) {
        bytes.back() = ',';
        bytes += '"' + member + "\":" + text + '}';
      }
      ExpectReply(400, Post(bytes), member + " " + bytes);
      ++odd_entries;
      std::this_thread::sleep_for(milliseconds(random.Below(20)));
    }
  }

  // More whole answers, and more streams that are broken off.
  static whole_request DrawMostlyWhole(seeded_random& random,
                                       int caller,
                                       int number) {
    whole_request request = Draw(random, caller, number, 2);
    if (!request.path.starts_with("/talk/") && random.Below(4) != 0) {
      request.path = "/stock/whole-" + std::to_string(number);
    }
    return request;
  }
  // Empty if that part does not name it yet.
  static std::string Software(const std::string& stream_part) {
    constexpr std::string_view kData = "data: ";
    const std::size_t at = stream_part.find(kData);
    const std::size_t end = stream_part.find('\n', at);
    if (at == std::string::npos || end == std::string::npos) {
      return "";
    }
    return stream_part.substr(at + kData.size(), end - at - kData.size());
  }
  static std::string WholeStream(const std::string& software) {
    std::string whole;
    for (int i = 1; i <= kStreamEvents; ++i) {
      whole += StreamEvent(i, software);
    }
    return whole;
  }
  bool IsWhole(const whole_request& request, const std::string& body) {
    if (!request.path.starts_with("/talk/")) {
      return body == "whole " + request.id;
    }
    const std::string software = Software(body);
    served.insert(software);
    gone_on += HasPlan(request.path, target_plan::kBreaksOff) ? 1 : 0;
    return body == WholeStream(software);
  }
  bool MayBeCut(const whole_request& request, const broken_exchange& broken) {
    if (!request.path.starts_with("/talk/")) {
      return false;
    }
    const std::string software = Software(broken.body);
    if (!software.empty() && !WholeStream(software).starts_with(broken.body)) {
      callers.counts.wrong.push_back(request.path + " " + request.id +
                                     " (cut): " + broken.body);
    }
    if (HasPlan(request.path, target_plan::kBreaksOff)) {
      ++broken_off;
      return true;
    }
    const std::lock_guard lock(mutex);
    return steady_clock::now() - broken.began >= kStreamLimit ||
           (software.empty() ? last_closed >= broken.began
                             : closed.contains(software));
  }
  void RunCallers(std::uint32_t seed) {
    callers.Run(addresses.callers,
                {.callers = kCallers,
                 .duration = kRun,
                 .read_limit = kReadLimit,
                 .longest_pause_ms = 400,
                 .draw = DrawMostlyWhole,
                 .may_be_cut =
                     [this](const auto& request, const auto& broken) {
                       return MayBeCut(request, broken);
                     },
                 .is_whole =
                     [this](const auto& request, const auto& body) {
                       return IsWhole(request, body);
                     }},
                seed);
  }
  // A target that is announced now serves soon.
  bool FollowsAnnouncements() {
    app::fake_target last([](const net::http_request& request) {
      return app::fake_answer{.bytes =
                                  BuildResponse(request, "200 OK", "last")};
    });
    Replace(++version);
    return Until([&] {
      AnnounceAll();
      Announce("last", last.address());
      return CallRoute("/stock/whole-0").body == "last";
    });
  }
};

TEST_CASE_METHOD(released_targets_fixture,
                 "software versions of misbehaving targets follow one another, "
                 "odd entries come among their announcements: no stream has "
                 "events of two versions, and each whole request gets a whole "
                 "answer or a refusal, or its target breaks off") {
  const std::uint32_t seed = GENERATE(range(1, kSeeds + 1));
  INFO("seed " << seed);
  std::thread changer([this, seed] { ChangeUntilOver(seed * kSeedStep); });
  std::thread releaser(
      [this, seed] { ReleaseUntilEnded(seed * kSeedStep + kSeedStep / 2); });
  std::thread odd([this, seed] {
    SendOddEntriesUntilOver(seed * kSeedStep + kSeedStep / 3);
  });
  std::thread calls([this, seed] { RunCallers(seed); });
  calls.join();
  calls_ended = true;
  changer.join();
  releaser.join();
  odd.join();
  callers.Check(seed, version);
  WARN(release << " software versions, " << served.size()
               << " of them in streams, " << odd_entries
               << " odd entries; streams that their target broke off: "
               << gone_on << " went on, " << broken_off << " were cut");
  CHECK(release >= 3);
  CHECK(served.size() > 1);
  CHECK(gone_on > 0);
  CHECK(odd_entries > 0);
  CHECK(wrong_replies == std::vector<std::string>());
  CHECK(FollowsAnnouncements());
}

}  // namespace
}  // namespace burdocklock::route_interface
