// A replica fails a request that goes on with a stream, and its head is written
// into the middle of the caller's answer. See claim.txt.
#include "replica.h"

using namespace review;

namespace {

constexpr int kReplicas = 8;
constexpr int kSlots = 64;
constexpr int kClients = 80;
constexpr int kEvents = 100;
constexpr int kEventMs = 40;
constexpr int kSilenceMs = 1700;
// Clients leave a stream after such a gap.
constexpr int kPatienceMs = 2000;
constexpr int kRounds = 7;
// One of the eight replicas fails (share 0.125) 9 of 20 requests,
// evenly spread.
constexpr int kFailing = 9;
// In spells of so long (`for_s`), with a pause of 1.5 s between them.
constexpr double kSpellS = 6.5;

std::string Configuration() {
  return R"({"version":7,"route_table":[{"name":"r-1","hostname":)"
         R"("ficu95.example","path_prefix":"/pufi791/","type":"streaming",)"
         R"("timeout_ms":12000,"target_latency_ms":300,"service":"huvo11a",)"
         R"("max_attempts":2,"anonymous":true,"session_affinity":true,)"
         R"("resumable":true,"itl_target_ms":250}],"services":[{"name":)"
         R"("huvo11a","health_path":"/healthz","max_connections":370,)"
         R"("runtime":{"slots":64,"kv_capacity":532419,"migrations":true}}],)"
         R"("limits":{"throughput_per_s":290000},"tenants":[]})";
}

std::string Chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

struct replica {
  std::string id;
  address at;
  std::atomic<double> fails_until{0};
  std::atomic<double> silent_until{0};
  std::atomic<int> requests{0};
};

bool HasClosed(const connection& link) {
  char byte = 0;
  return recv(link.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void Serve(connection& link, replica& self, record_file& record) {
  while (auto request = link.Read(30000, false)) {
    const std::string id = request->Field("x-attempt-id");
    const std::string last = request->Field("last-event-id");
    if (record.Now() < self.fails_until &&
        self.requests++ * kFailing % 20 < kFailing) {
      record.Line("%s answers %s (after event %s) with 409", self.id.c_str(),
                  id.c_str(), last.empty() ? "-" : last.c_str());
      const std::string event = "event: error\ndata: no such run\n\n";
      if (!link.Write(AnswerHead("409 Conflict", *request,
                                 Seal(*request) +
                                     "Content-Type: text/event-stream\r\n"
                                     "Content-Length: " +
                                     std::to_string(event.size()) +
                                     "\r\n\r\n") +
                      event)) {
        return;
      }
      continue;
    }
    // Never breaks off: it ends early only if its connection is closed.
    if (!link.Write(AnswerHead("200 OK", *request,
                               Seal(*request) +
                                   "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"))) {
      return;
    }
    for (int event = std::atoi(last.c_str()) + 1; event <= kEvents; ++event) {
      Sleep(kEventMs);
      while (record.Now() < self.silent_until) {
        Sleep(5);
      }
      if (HasClosed(link) || !link.Write(Chunk("id: " + std::to_string(event) +
                                               "\ndata: x\n\n"))) {
        return;
      }
    }
    if (!link.Write("0\r\n\r\n")) {
      return;
    }
  }
}

struct tally {
  std::atomic<int> whole{0};
  std::atomic<int> failed{0};
  std::atomic<int> cut{0};
  std::atomic<int> left{0};
  std::atomic<int> spoilt{0};
  std::atomic<int> next{0};
};

/// Reads one answer as bytes: its head, and its chunks or its body.
std::string ReadBytes(const address& edge,
                      const std::string& request,
                      std::atomic<int>& left) {
  connection link;
  std::string bytes;
  if (!link.Connect(edge, 1000) || !link.Write(request)) {
    return bytes;
  }
  const auto until = clock_type::now() + milliseconds(13000);
  char piece[16384];
  while (clock_type::now() < until) {
    pollfd waiting{link.fd(), POLLIN, 0};
    if (poll(&waiting, 1, kPatienceMs) != 1) {
      ++left;
      break;
    }
    const ssize_t count = recv(link.fd(), piece, sizeof piece, 0);
    if (count <= 0) {
      break;
    }
    bytes.append(piece, static_cast<std::size_t>(count));
    const bool is_stream = bytes.starts_with("HTTP/1.1 200");
    if (is_stream ? bytes.ends_with("\r\n0\r\n\r\n") ||
                        bytes.find("HTTP/1.1", 8) != std::string::npos
                  : bytes.find("\r\n\r\n") != std::string::npos) {
      break;
    }
  }
  return bytes;
}

void Client(const address& edge,
            const std::atomic<bool>& stopping,
            tally& counts,
            record_file& record) {
  while (!stopping) {
    const int number = ++counts.next;
    const std::string id = "c" + std::to_string(number);
    const std::string bytes = ReadBytes(
        edge,
        "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
        "X-Attempt-Id: " +
            id +
            "\r\nX-Model: m\r\n"
            "X-Token-Usage: 628,600\r\nX-Prompt-Prefix: 5c1e07a2:119," +
            std::to_string(number % 977) +
            ":79\r\n"
            "X-Deadline-Ms: 12000\r\nContent-Length: 0\r\n\r\n",
        counts.left);
    const std::size_t second = bytes.find("HTTP/1.1", 8);
    if (!bytes.starts_with("HTTP/1.1 200")) {
      ++counts.failed;
      Sleep(200);
    } else if (second != std::string::npos) {
      ++counts.spoilt;
      std::string line =
          bytes.substr(second, bytes.find("\r\n", second) - second);
      record.Line(
          "client: in the answer to %s a chunk is due, and \"%s\" comes",
          id.c_str(), line.c_str());
    } else if (bytes.ends_with("\r\n0\r\n\r\n")) {
      ++counts.whole;
    } else {
      ++counts.cut;
      record.Line("client: the answer to %s ends early", id.c_str());
    }
  }
}

int Run(const std::string& program, record_file& record) {
  const temporary_folder folder;
  const std::vector<std::string> ips = {"127.77.4.1", "127.77.4.2",
                                        "127.77.4.3"};
  const ports at = FreePorts(ips);
  const std::vector<std::string> zones = {"binh-duong"};
  const std::vector<std::string> seeds = {ips[0] + ":" +
                                          std::to_string(at.commands)};
  const address control{ips[0], at.commands};
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
  std::vector<std::unique_ptr<replica>> replicas;
  std::vector<std::unique_ptr<listener>> listeners;
  std::vector<std::unique_ptr<heart>> hearts;
  for (int i = 0; i < kReplicas; ++i) {
    replicas.push_back(std::make_unique<replica>());
    replica& self = *replicas.back();
    self.id = "i-" + std::to_string(i);
    self.at = {ips[2], FreePort({ips[2]})};
    listeners.push_back(std::make_unique<listener>(
        self.at,
        [&self, &record](connection& link) { Serve(link, self, record); }));
    hearts.push_back(
        std::make_unique<heart>(replica_description{.id = self.id,
                                                    .service = "huvo11a",
                                                    .zone = zones[0],
                                                    .at = self.at,
                                                    .slots = kSlots,
                                                    .has_model = true},
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
  std::atomic<bool> stopping{false};
  tally counts;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      Client({ips[1], at.callers}, stopping, counts, record);
    });
    Sleep(25);
  }
  for (int round = 0; round < kRounds; ++round) {
    Sleep(4000);
    if (WithTrouble()) {
      if (round % 2 == 0) {
        replicas.back()->fails_until = record.Now() + kSpellS;
      }
      replica& self =
          *replicas[static_cast<std::size_t>(round) % (kReplicas - 1)];
      record.Line("%s falls silent for %d ms and goes on", self.id.c_str(),
                  kSilenceMs);
      self.silent_until = record.Now() + kSilenceMs / 1000.0;
    }
  }
  Sleep(4000);
  stopping = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (auto& each : hearts) {
    each->Stop();
  }
  edge.Kill();
  core.Kill();
  for (auto& each : listeners) {
    each->Stop();
  }
  record.Line(
      "%d streams whole, %d failed, %d ended early (%d left after a "
      "gap), %d with other bytes in the middle",
      counts.whole.load(), counts.failed.load(), counts.cut.load(),
      counts.left.load(), counts.spoilt.load());
  if (!ready || counts.whole < kClients) {
    return kCouldNotRun;
  }
  record.Line(counts.spoilt > 0 ? "BROKEN" : "HELD");
  return counts.spoilt > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) {
  record_file record(arguments[2]);
  return Run(arguments[1], record);
}
