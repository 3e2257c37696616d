// Two control hosts of three are replaced, one after the other has been made
// good. See claim.txt.
#include "harness.h"

using namespace review;

namespace {

constexpr int kCatchUpMs = 4000;
constexpr int kPlannedLeadMs = 2000;
constexpr int kSuccessorDelayMs = 1000;
constexpr int kReadBackMs = 15000;

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"route_table":[{"name":"r-1","hostname":"ficu95.example",)"
         R"("path_prefix":"/puxa403/","type":"idempotent","timeout_ms":1500,)"
         R"("service":"wuno96b","max_attempts":2,"anonymous":true}],)"
         R"("services":[{"name":"wuno96b","health_path":"/healthz",)"
         R"("max_connections":110}],"limits":{},"tenants":[]})";
}

struct machine {
  std::string name;
  std::string ip;
  daemon_process process;
};

class fleet {
 public:
  fleet(const std::string& program, record_file& record)
      : program_(program), record_(record) {
    for (int i = 1; i <= 5; ++i) {
      ips_.push_back("127.77.1." + std::to_string(i));
    }
    ports_ = FreePorts(ips_);
    for (int i = 0; i < 3; ++i) {
      seeds_.push_back(ips_[static_cast<std::size_t>(i)] + ":" +
                       std::to_string(ports_.commands));
    }
  }
  ~fleet() {
    for (machine& each : machines_) {
      each.process.Kill();
    }
  }
  std::size_t Start(bool first_start) {
    const std::size_t i = machines_.size();
    const std::string name = "core-" + std::to_string(i + 1);
    const std::string folder = folder_.path() + "/" + name;
    std::filesystem::create_directory(folder);
    const std::vector<std::string> zones = {"binh-duong", "dong-nai",
                                            "long-an"};
    WriteFile(folder + ".toml",
              ControlSettings(name, zones[i % 3], ips_[i], folder, seeds_,
                              zones, ports_, first_start, 1));
    machines_.push_back(
        {name, ips_[i],
         daemon_process(program_, folder + ".toml", folder + ".log")});
    record_.Line("start %s at %s, disk empty, bootstrap %s", name.c_str(),
                 ips_[i].c_str(), first_start ? "true" : "false");
    return i;
  }
  void Remove(std::size_t i, int signal) {
    record_.Line("%s is removed for good (signal %d)",
                 machines_[i].name.c_str(), signal);
    machines_[i].process.Signal(signal);
    if (!machines_[i].process.AwaitEnd(8000)) {
      machines_[i].process.Kill();
    }
    record_.Line("%s has ended", machines_[i].name.c_str());
  }
  /// Repeats the call at the running machines until it gets a clear answer.
  int Ask(const std::string& method,
          const std::string& path,
          const std::string& body,
          int ms,
          std::string* answer = nullptr) {
    const auto until = clock_type::now() + milliseconds(ms);
    std::map<int, int> seen;
    do {
      for (machine& each : machines_) {
        if (!each.process.IsRunning()) {
          continue;
        }
        const http_message got =
            Call({each.ip, ports_.commands}, method, path, body);
        ++seen[got.Status()];
        if (got.Status() / 100 == 2) {
          record_.Line("%s answers %s with %d", each.name.c_str(), path.c_str(),
                       got.Status());
          if (answer != nullptr) {
            *answer = got.body;
          }
          return got.Status();
        }
      }
      Sleep(200);
    } while (clock_type::now() < until);
    for (const auto& [status, count] : seen) {
      record_.Line("%s: status %d (0: none) %d times in %d ms", path.c_str(),
                   status, count, ms);
    }
    return 0;
  }

 private:
  std::string program_;
  record_file& record_;
  temporary_folder folder_;
  std::vector<std::string> ips_;
  std::vector<std::string> seeds_;
  ports ports_;
  std::vector<machine> machines_;
};

int Run(const std::string& program, record_file& record) {
  fleet core(program, record);
  for (int i = 0; i < 3; ++i) {
    core.Start(true);
  }
  for (int version = 3; version <= 7; version += 4) {
    if (core.Ask("POST", "/-/Config.Replace", Configuration(version), 10000) ==
        0) {
      return kCouldNotRun;
    }
    record.Line("version %d is acknowledged", version);
  }
  if (WithTrouble()) {
    // Planned: the new machine first, then SIGTERM.
    core.Start(false);
    Sleep(kPlannedLeadMs);
    core.Remove(0, SIGTERM);
    // Its successor has had `catch_up_s`, so the first one no longer counts.
    Sleep(kCatchUpMs - kPlannedLeadMs + 200);
    core.Remove(1, SIGKILL);
    Sleep(kSuccessorDelayMs);
    core.Start(false);
    Sleep(kCatchUpMs);
  } else {
    Sleep(kCatchUpMs + kSuccessorDelayMs + kCatchUpMs);
  }
  std::string answer;
  const int status =
      core.Ask("GET", "/-/Config.Read", "", kReadBackMs, &answer);
  if (status == 0) {
    record.Line("BROKEN: the configuration doesn't come at the end");
    return kBroken;
  }
  if (answer.find(R"("version":7,)") == std::string::npos) {
    record.Line("BROKEN: the configuration read back is not version 7");
    return kBroken;
  }
  record.Line("HELD: version 7 is read back");
  return kHeld;
}

}  // namespace

int main(int, char** arguments) {
  record_file record(arguments[2]);
  return Run(arguments[1], record);
}
