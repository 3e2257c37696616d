// One request crashes each replica that begins to run it, and comes again and
// again. All processes are killed at the same moment.
#include "../deployment_2.h"

namespace {

using review::arrived_request;
using review::connection;
using review::replica;
using steady_clock = std::chrono::steady_clock;

constexpr char kKey[] = "key-depot-1";
constexpr int kReplicas = 10;
constexpr int kRouters = 2;
// Bounds of the grown sites, the longer ones: `contact_ms`, and twice as long
// after a final fault.
constexpr int kContactMs = 4000;
constexpr int kAfterKillMs = 2 * kContactMs + 500;
// Retries at replicas that the rule allows.
constexpr std::size_t kAllowed = 3;
constexpr int kRepeatMs = 400;
constexpr int kBackMs = 2500;
constexpr int kDownMs = 800;

struct world {
  std::mutex mutex;
  std::set<int> to_crash;
  // When and as which attempt of a client the bad request reached replicas.
  std::vector<std::pair<steady_clock::time_point, std::string>> arrivals;
  std::atomic<bool> bad_comes = false;
  std::atomic<bool> stopping = false;
};

int Run(const review::case_arguments& arguments) {
  review::record_file record(arguments.record);
  world state;
  std::vector<std::unique_ptr<replica>> replicas;
  std::vector<replica*> all;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<replica>(
        record, "i-look-" + std::to_string(i + 1), "look",
        "zone-" + std::to_string(i % kRouters + 1),
        "127.0.53." + std::to_string(i + 1),
        [&state, i](connection& to, const arrived_request& call) {
          if (call.body != "bad") {
            review::SleepMs(20);
            return to.Send(review::WholeAnswer(call, "in stock"));
          }
          {
            const std::lock_guard lock(state.mutex);
            state.arrivals.emplace_back(steady_clock::now(), call.Id());
            state.to_crash.insert(i);
          }
          // Until its process has ended.
          to.Extra(std::chrono::seconds(2));
          return false;
        }));
    all.push_back(replicas.back().get());
  }
  review::deployment system(record, arguments.folder, kRouters);
  system.Start();
  const auto configuration = [](int version) {
    // An attempt of a client reaches one replica at most.
    return review::Configuration(version,
                                 {{.name = "r-look",
                                   .prefix = "/look/",
                                   .service = "look",
                                   .max_attempts = 1}},
                                 {"look"}, {{.name = "depot-1", .key = kKey}});
  };
  if (system.Configure(configuration(7)).status != 200) {
    return review::kCannotRun;
  }
  system.Announce(all);

  std::vector<std::thread> workers;
  // Crashes replicas, and has them back.
  workers.emplace_back([&] {
    std::map<int, steady_clock::time_point> down;
    while (!state.stopping) {
      std::set<int> now;
      {
        const std::lock_guard lock(state.mutex);
        now.swap(state.to_crash);
      }
      for (const int i : now) {
        if (down.contains(i)) {
          continue;
        }
        all[static_cast<std::size_t>(i)]->Crash();
        down[i] = steady_clock::now() + review::milliseconds(kBackMs);
      }
      std::erase_if(down, [&](const auto& entry) {
        if (entry.second > steady_clock::now()) {
          return false;
        }
        all[static_cast<std::size_t>(entry.first)]->StartAgain();
        return true;
      });
      review::SleepMs(2);
    }
  });
  // The bad request, at each router in turn, and sound ones.
  const auto send = [&](const std::string& id, const std::string& body,
                        std::size_t router) {
    const auto to = connection::Connect(system.Router(router));
    if (to) {
      to->Send(review::request{.method = "POST",
                               .path = "/look/x",
                               .id = id,
                               .key = kKey,
                               .body = body}
                   .Bytes());
      return review::ReadAnswer(*to, "POST", std::chrono::seconds(4)).status;
    }
    return 0;
  };
  workers.emplace_back([&] {
    for (int n = 1; !state.stopping; ++n) {
      if (state.bad_comes) {
        const std::string id = "bad-" + std::to_string(n);
        record.Add(id + ": status " +
                   std::to_string(send(
                       id, "bad", static_cast<std::size_t>(n % kRouters))));
      }
      review::SleepMs(kRepeatMs);
    }
  });
  std::atomic<int> sound = 0;
  std::atomic<int> served = 0;
  for (int w = 0; w < 4; ++w) {
    workers.emplace_back([&, w] {
      for (int n = 1; !state.stopping; ++n) {
        const std::string id =
            "sound-" + std::to_string(w) + "-" + std::to_string(n);
        ++sound;
        served += send(id, id, static_cast<std::size_t>(n % kRouters)) == 200;
        review::SleepMs(50);
      }
    });
  }

  review::SleepMs(5000);
  state.bad_comes = true;
  steady_clock::time_point third{};
  for (int waited = 0; waited < 100 && third == steady_clock::time_point{};
       ++waited) {
    review::SleepMs(100);
    const std::lock_guard lock(state.mutex);
    if (state.arrivals.size() >= 3) {
      third = state.arrivals[2].first;
    }
  }
  bool can_run = third != steady_clock::time_point{};
  // When machines are not in touch.
  std::pair<steady_clock::time_point, steady_clock::time_point> excused;
  review::SleepMs(12'000);
  if (can_run) {
    state.bad_comes = false;
    review::SleepMs(500);
    can_run = system.Configure(configuration(9)).status == 200;
    const auto from = steady_clock::now();
    if (arguments.trouble) {
      system.KillAll(review::milliseconds(kDownMs));
    }
    review::SleepMs(kAfterKillMs);
    excused = {from, steady_clock::now()};
    state.bad_comes = true;
    review::SleepMs(6000);
  }
  state.stopping = true;
  for (std::thread& worker : workers) {
    worker.join();
  }
  std::set<std::string> late;
  for (const auto& [when, id] : state.arrivals) {
    const bool is_excused = excused.first <= when && when <= excused.second;
    if (when > third + review::milliseconds(kContactMs) && !is_excused) {
      late.insert(id);
    }
  }
  record.Add("the bad request reached replicas " +
             std::to_string(state.arrivals.size()) + " times, " +
             std::to_string(late.size()) +
             " retries from machines in touch later than contact_ms after the "
             "third crash; " +
             std::to_string(served.load()) + " of " +
             std::to_string(sound.load()) + " sound requests served");
  if (!can_run) {
    return review::kCannotRun;
  }
  return late.size() > kAllowed ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = review::ReadArguments(argc, argv);
  return arguments ? Run(*arguments) : review::kCannotRun;
}
