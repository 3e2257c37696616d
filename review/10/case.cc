// A client fetches with HEAD on a connection that it keeps. The replica answers
// as HTTP/1.1 says: with the length of the body, and without the body.
#include "../deployment_2.h"

namespace {

using review::answer;
using review::arrived_request;
using review::connection;

constexpr int kCalls = 3;
constexpr char kKey[] = "key-depot-1";
constexpr char kBody[] = "in stock: 12";

bool AnswerLookUp(connection& to, const arrived_request& call) {
  const std::string whole = review::WholeAnswer(call, kBody);
  const bool is_head = call.line.starts_with("HEAD ");
  return to.Send(is_head ? whole.substr(0, whole.size() - sizeof kBody + 1)
                         : whole);
}

int Run(const review::case_arguments& arguments) {
  review::record_file record(arguments.record);
  review::replica look(record, "i-look-1", "look", "zone-1", "127.0.53.1",
                       AnswerLookUp);
  review::deployment system(record, arguments.folder, 1);
  system.Start();
  const std::string configuration = review::Configuration(
      7, {{.name = "r-look", .prefix = "/look/", .service = "look"}}, {"look"},
      {{.name = "depot-1", .key = kKey}});
  if (!look.listens() || system.Configure(configuration).status != 200) {
    return review::kCannotRun;
  }
  system.Announce({&look});
  if (!system.AwaitService(0, {.path = "/look/x", .key = kKey})) {
    return review::kCannotRun;
  }
  review::SleepMs(4000);

  const std::string method = arguments.trouble ? "HEAD" : "GET";
  const auto client = connection::Connect(system.Router(0));
  if (!client) {
    return review::kCannotRun;
  }
  int served = 0;
  std::string extra;
  for (int i = 1; i <= kCalls && extra.empty(); ++i) {
    const std::string id = "look-" + std::to_string(i);
    record.Add("client sends " + method + " " + id);
    client->Send(review::request{
        .method = method, .path = "/look/x", .id = id, .key = kKey}
                     .Bytes());
    const answer got =
        review::ReadAnswer(*client, method, std::chrono::seconds(5));
    record.Add(id + ": " + got.Text());
    served += got.status == 200 ? 1 : 0;
    // No request waits now, so nothing may come.
    extra = client->Extra(review::milliseconds(300));
    if (!extra.empty()) {
      record.Add("with no request waiting the client gets " +
                 std::to_string(extra.size()) + " bytes: " + extra);
    }
  }
  record.Add("served " + std::to_string(served) + "; the replica has run " +
             std::to_string(look.runs()) + " requests");
  return extra.empty() ? review::kHeld : review::kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = review::ReadArguments(argc, argv);
  return arguments ? Run(*arguments) : review::kCannotRun;
}
