// Clients wait for orders that a sound replica is at work on, on connections
// that they keep. Meanwhile another replica, which is in trouble, answers one
// request of another service with a long trailer.
#include "../deployment_2.h"

namespace {

using review::answer;
using review::arrived_request;
using review::connection;

constexpr int kClients = 8;
// Breaks of the rule are counted from the fourth on.
constexpr int kAllowed = 3;
constexpr int kWorkMs = 900;
constexpr std::size_t kTrailerBytes = 72'000;
constexpr std::size_t kFirstPiece = 50'000;
constexpr char kKey[] = "key-depot-1";

bool AnswerOrder(connection& to, const arrived_request& order) {
  review::SleepMs(order.line.find("/slow") == std::string::npos ? 5 : kWorkMs);
  return to.Send(review::WholeAnswer(order, "accepted " + order.Id()));
}

bool AnswerLookUp(connection& to, const arrived_request& call, bool trouble) {
  const bool is_probe = call.Id().starts_with("probe");
  if (is_probe || !trouble) {
    return to.Send(review::WholeAnswer(call, "in stock"));
  }
  to.Send(review::AnswerHead(call) +
          "Transfer-Encoding: chunked\r\n\r\n8\r\nin stock\r\n0\r\nX-Note: " +
          std::string(kFirstPiece, 'y'));
  review::SleepMs(100);
  to.Send(std::string(kTrailerBytes - kFirstPiece, 'y') + "\r\n\r\n");
  review::SleepMs(200);
  return false;
}

struct kept_client {
  std::unique_ptr<connection> to;
  std::string id;
  answer got;
};

int Run(const review::case_arguments& arguments) {
  review::record_file record(arguments.record);
  review::replica desk(record, "i-desk-1", "desk", "zone-1", "127.0.53.1",
                       AnswerOrder);
  review::replica look(
      record, "i-look-1", "look", "zone-2", "127.0.53.2",
      [&arguments](connection& to, const arrived_request& call) {
        return AnswerLookUp(to, call, arguments.trouble);
      });
  review::deployment system(record, arguments.folder, 2);
  system.Start();
  const std::string configuration = review::Configuration(
      7,
      {{.name = "r-order",
        .prefix = "/order/",
        .service = "desk",
        .type = "non_idempotent",
        .max_attempts = 1},
       {.name = "r-look", .prefix = "/look/", .service = "look"}},
      {"desk", "look"}, {{.name = "depot-1", .key = kKey}});
  if (!desk.listens() || !look.listens() ||
      system.Configure(configuration).status != 200) {
    return review::kCannotRun;
  }
  system.Announce({&desk, &look});
  if (!system.AwaitService(0, {.path = "/order/quick", .key = kKey}) ||
      !system.AwaitService(0, {.path = "/look/x", .key = kKey})) {
    return review::kCannotRun;
  }
  // In touch needs three quiet seconds.
  review::SleepMs(4000);

  std::vector<kept_client> clients(kClients);
  for (int i = 0; i < kClients; ++i) {
    kept_client& client = clients[static_cast<std::size_t>(i)];
    client.to = connection::Connect(system.Router(0));
    client.id = "order-" + std::to_string(i + 1);
    if (!client.to ||
        !client.to->Send(review::request{.method = "POST",
                                         .path = "/order/quick",
                                         .id = client.id + "-first",
                                         .key = kKey,
                                         .body = "relay"}
                             .Bytes()) ||
        review::ReadAnswer(*client.to, "POST", std::chrono::seconds(3))
                .status != 200) {
      return review::kCannotRun;
    }
  }
  const int runs_before = desk.runs();
  for (kept_client& client : clients) {
    record.Add("client sends " + client.id + " on its kept connection");
    client.to->Send(review::request{.method = "POST",
                                    .path = "/order/slow",
                                    .id = client.id,
                                    .key = kKey,
                                    .body = "relay"}
                        .Bytes());
  }
  review::SleepMs(300);
  const int passed_on = desk.runs() - runs_before;
  if (passed_on < kClients) {
    return review::kCannotRun;
  }
  const auto other = connection::Connect(system.Router(0));
  record.Add("another client sends look-1");
  other->Send(
      review::request{.path = "/look/x", .id = "look-1", .key = kKey}.Bytes());
  record.Add("look-1: " +
             review::ReadAnswer(*other, "GET", std::chrono::seconds(4)).Text());

  int lost = 0;
  for (kept_client& client : clients) {
    client.got =
        review::ReadAnswer(*client.to, "POST", std::chrono::seconds(4));
    lost += client.got.status == 0 && client.to->at_end() ? 1 : 0;
    record.Add(client.id + ": " + client.got.Text());
  }
  record.Add(std::to_string(passed_on) +
             " of the orders had reached replica i-desk-1; " +
             std::to_string(lost) +
             " clients' connections were closed without an answer");
  record.Add("edge-1 " + system.EndOf("edge-1").value_or("still runs"));
  return lost > kAllowed ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = review::ReadArguments(argc, argv);
  return arguments ? Run(*arguments) : review::kCannotRun;
}
