// Replicas of a service fail part of the orders that they run with a 503 that
// does not say "not executed". See claim.txt.
#include <set>

#include "replica.h"

using namespace review;

namespace {

constexpr int kOrders = 200;
// One of them fails: a share of 0.125.
constexpr int kReplicas = 8;
// So many orders in 20 fail there (x = 0.45), evenly spread.
constexpr int kFailing = 9;
constexpr char kService[] = "wuno96b";

std::string Configuration() {
  return R"({"version":7,"route_table":[{"name":"r-1","hostname":)"
         R"("ficu95.example","path_prefix":"/puxa403/","type":)"
         R"("non_idempotent","timeout_ms":1500,"target_latency_ms":100,)"
         R"("service":"wuno96b","max_attempts":1,"anonymous":true}],)"
         R"("services":[{"name":"wuno96b","health_path":"/healthz",)"
         R"("max_connections":110}],"limits":{},"tenants":[]})";
}

struct books {
  std::mutex mutex;
  /// Orders by their content: how often each was carried out.
  std::map<std::string, int> done;
  /// Ids of requests that have run.
  std::set<std::string> ran;
  /// Requests at the failing replica.
  std::atomic<int> at_failing{0};
};

void Serve(connection& link, books& kept, bool fails, record_file& record) {
  while (auto request = link.Read(20000, false)) {
    const std::string id = request->Field("x-attempt-id");
    {
      const std::lock_guard lock(kept.mutex);
      ++kept.done[request->body];
      kept.ran.insert(id);
    }
    Sleep(5);
    const bool failing =
        fails && WithTrouble() && kept.at_failing++ * kFailing % 20 < kFailing;
    record.Line("replica runs %s (%s) and answers %s", id.c_str(),
                request->body.c_str(), failing ? "503" : "200");
    const std::string body = failing ? "no connection to the ledger" : "done";
    if (!link.Write(AnswerHead(failing ? "503 Service Unavailable" : "200 OK",
                               *request,
                               Seal(*request) + "Content-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n") +
                    body)) {
      return;
    }
  }
}

int Run(const std::string& program, record_file& record) {
  const temporary_folder folder;
  const std::vector<std::string> ips = {"127.77.2.1", "127.77.2.2",
                                        "127.77.2.3"};
  const ports at = FreePorts(ips);
  const std::vector<std::string> zones = {"binh-duong"};
  const std::vector<std::string> seeds = {ips[0] + ":" +
                                          std::to_string(at.commands)};
  std::filesystem::create_directory(folder.path() + "/data");
  WriteFile(folder.path() + "/core.toml",
            ControlSettings("core-1", zones[0], ips[0], folder.path() + "/data",
                            seeds, zones, at, true, 0));
  WriteFile(folder.path() + "/edge.toml",
            RouterSettings("edge-1", zones[0], ips[1], seeds, at, 56));
  daemon_process core(program, folder.path() + "/core.toml",
                      folder.path() + "/core.log");
  daemon_process edge(program, folder.path() + "/edge.toml",
                      folder.path() + "/edge.log");
  const address control{ips[0], at.commands};
  books kept;
  std::vector<std::unique_ptr<listener>> replicas;
  std::vector<std::unique_ptr<heart>> hearts;
  for (int i = 0; i < kReplicas; ++i) {
    const address where{ips[2], FreePort({ips[2]})};
    replicas.push_back(std::make_unique<listener>(
        where, [&kept, &record, fails = i == 0](connection& link) {
          Serve(link, kept, fails, record);
        }));
    hearts.push_back(std::make_unique<heart>(
        replica_description{.id = "i-" + std::to_string(i),
                            .service = kService,
                            .zone = zones[0],
                            .at = where},
        std::vector<address>{control}));
  }
  bool ready = false;
  for (int tries = 0; tries < 100 && !ready; ++tries) {
    Sleep(100);
    ready =
        Call(control, "POST", "/-/Config.Replace", Configuration()).Status() ==
            200 &&
        Call({ips[1], at.ready}, "GET", "/-/readyz", "").Status() == 200;
  }
  Sleep(3000);
  int broken = 0;
  int answered = 0;
  for (int order = 0; order < kOrders && ready; ++order) {
    const std::string content = "order " + std::to_string(order);
    // A client tries once more after a promise, with an id of its own.
    for (int attempt = 0; attempt < 2; ++attempt) {
      const std::string id =
          "c" + std::to_string(order) + "t" + std::to_string(attempt);
      connection link;
      if (!link.Connect({ips[1], at.callers}, 1000)) {
        continue;
      }
      link.Write(
          "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
          "X-Attempt-Id: " +
          id +
          "\r\nX-Deadline-Ms: 1500\r\n"
          "Content-Length: " +
          std::to_string(content.size()) + "\r\n\r\n" + content);
      const auto answer = link.Read(2000, true);
      const int status = answer ? answer->Status() : 0;
      answered += status == 200 ? 1 : 0;
      const bool promise =
          status == 503 || status == 429 || status == 408 || status == 421;
      bool ran = false;
      {
        const std::lock_guard lock(kept.mutex);
        ran = kept.ran.contains(id);
      }
      record.Line("client: %s (%s) is answered %d%s", id.c_str(),
                  content.c_str(), status,
                  promise && ran ? ": promised as not run, and has run" : "");
      broken += promise && ran ? 1 : 0;
      if (!promise) {
        break;
      }
      Sleep(20);
    }
  }
  for (auto& each : hearts) {
    each->Stop();
  }
  edge.Kill();
  core.Kill();
  for (auto& each : replicas) {
    each->Stop();
  }
  int doubled = 0;
  for (const auto& [content, times] : kept.done) {
    doubled += times > 1 ? 1 : 0;
  }
  record.Line(
      "%d of %d orders answered 200; %d answered with a promise "
      "although they ran; %d orders carried out twice",
      answered, kOrders, broken, doubled);
  if (!ready || answered == 0) {
    return kCouldNotRun;
  }
  record.Line(broken > 0 ? "BROKEN" : "HELD");
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) {
  record_file record(arguments[2]);
  return Run(arguments[1], record);
}
