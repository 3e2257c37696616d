// Configurations come in quick succession. Meanwhile one control host of three
// loses its disk and is back; after `catch_up_s` another one does.
#include "../deployment_2.h"

namespace {

using review::answer;
using steady_clock = std::chrono::steady_clock;

constexpr char kKey[] = "key-depot-1";
// Bounds of the grown sites, the longer ones: `catch_up_s`, `recovery_s`.
constexpr int kCatchUpMs = 6000;
constexpr int kRecoveryMs = 15'000;
constexpr int kDownMs = 1500;
constexpr int kMarginMs = 300;
// Time between two changes; storms last 2 s, and follow one another.
constexpr int kDefaultGapMs = 80;
constexpr int kStormMs = 2000;
constexpr int kStorms = 4;
// Orders that may be in progress at once.
constexpr int kOrders = 8;
// How long the operator tries to read back after all are back.
constexpr int kReadBackMs = 2 * kRecoveryMs;

std::string ConfigurationOf(int version) {
  return review::Configuration(
      version, {{.name = "r-look", .prefix = "/look/", .service = "look"}},
      {"look"}, {{.name = "depot-1", .key = kKey}});
}

// The control host that answers a read by itself.
std::optional<std::size_t> FindLeader(review::deployment& system) {
  for (int tries = 0; tries < 50; ++tries) {
    for (std::size_t i = 0; i < system.control_count(); ++i) {
      const auto to = review::connection::Connect(system.Command(i));
      if (to && to->Send("GET /-/Config.Read HTTP/1.1\r\nHost: x\r\n\r\n") &&
          review::ReadAnswer(*to, "GET", std::chrono::seconds(1)).status ==
              200) {
        return i;
      }
    }
    review::SleepMs(200);
  }
  return std::nullopt;
}

// The operator's changes. Each is sent until there is a clear answer, to the
// next host after each try.
class operator_orders {
 public:
  operator_orders(review::deployment& system,
                  review::record_file& record,
                  int gap_ms,
                  int total_ms)
      : system_(system), record_(record) {
    const auto began = steady_clock::now();
    for (int i = 0; i < kOrders; ++i) {
      workers_.emplace_back([this, began, gap_ms, total_ms, i] {
        for (int at = i * gap_ms; at < total_ms && !stopping_;
             at += kOrders * gap_ms) {
          std::this_thread::sleep_until(began + review::milliseconds(at));
          SendUntilAnswered(100 + 2 * (at / gap_ms));
        }
      });
    }
  }
  ~operator_orders() {
    stopping_ = true;
    for (std::thread& worker : workers_) {
      worker.join();
    }
  }

  [[nodiscard]] int newest() const { return newest_; }
  [[nodiscard]] int acknowledged() const { return acknowledged_; }

 private:
  void SendUntilAnswered(int version) {
    for (std::size_t tries = 0; !stopping_; ++tries) {
      const answer got = system_.Call("POST", "/-/Config.Replace",
                                      ConfigurationOf(version), tries);
      if (got.status / 100 == 2) {
        ++acknowledged_;
        int before = newest_;
        while (before < version &&
               !newest_.compare_exchange_weak(before, version)) {
        }
        record_.Add("version " + std::to_string(version) + " acknowledged");
        return;
      }
      review::SleepMs(100 * static_cast<int>(std::min<std::size_t>(tries, 9)));
    }
  }

  review::deployment& system_;
  review::record_file& record_;
  std::vector<std::thread> workers_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> newest_ = 7;
  std::atomic<int> acknowledged_ = 0;
};

int VersionIn(const std::string& document) {
  const std::string name = "\"version\":";
  const std::size_t at = document.find(name);
  return at == std::string::npos
             ? 0
             : std::atoi(document.c_str() + at + name.size());
}

int Run(const review::case_arguments& arguments) {
  review::record_file record(arguments.record);
  review::deployment system(record, arguments.folder, 1);
  system.Start();
  if (system.Configure(ConfigurationOf(7)).status != 200) {
    return review::kCannotRun;
  }
  review::SleepMs(4000);
  const auto leader = FindLeader(system);
  if (!leader) {
    return review::kCannotRun;
  }
  record.Add("core-" + std::to_string(*leader + 1) + " leads");
  const std::size_t first = (*leader + 1) % system.control_count();
  const std::size_t second = (*leader + 2) % system.control_count();
  const char* gap = std::getenv("GAP_MS");
  const int gap_ms = gap == nullptr ? kDefaultGapMs : std::atoi(gap);

  if (arguments.trouble) {
    system.LoseWithDisk(first);
  }
  review::SleepMs(kDownMs);
  int newest = 0;
  {
    const operator_orders orders(system, record, gap_ms, kStorms * kStormMs);
    if (arguments.trouble) {
      system.StartAgain(first);
    }
    review::SleepMs(kCatchUpMs + kMarginMs);
    if (arguments.trouble) {
      system.LoseWithDisk(second);
    }
    review::SleepMs(kDownMs);
    if (arguments.trouble) {
      system.StartAgain(second);
    }
    review::SleepMs(kCatchUpMs);
    newest = orders.newest();
    record.Add(std::to_string(orders.acknowledged()) +
               " changes acknowledged, the newest " + std::to_string(newest));
  }

  const auto until = steady_clock::now() + review::milliseconds(kReadBackMs);
  int read = 0;
  std::string last = "none";
  for (std::size_t host = 0; read < newest && steady_clock::now() < until;
       ++host) {
    const answer got = system.Call("GET", "/-/Config.Read", "", host);
    last = got.Text() + " " + got.body.substr(0, 160);
    if (got.status == 200) {
      read = VersionIn(got.body);
      if (read < newest) {
        break;
      }
    }
    review::SleepMs(250);
  }
  record.Add("last answer to a read: " + last);
  record.Add("read back: " +
             (read == 0 ? std::string("nothing in " +
                                      std::to_string(kReadBackMs / 1000) + " s")
                        : "version " + std::to_string(read)));
  return read < newest ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = review::ReadArguments(argc, argv);
  return arguments ? Run(*arguments) : review::kCannotRun;
}
