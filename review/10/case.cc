// The operator sends a configuration by mistake in which two routes share their
// host and prefix; one writes the host with a capital letter.
#include "../deployment_2.h"

namespace {

using review::answer;
using review::arrived_request;
using review::connection;

constexpr char kKey[] = "key-depot-1";
// `config_apply_ms` of the site, and half a second more.
constexpr int kApplyMs = 2500 + 500;
constexpr int kCalls = 20;

int Run(const review::case_arguments& arguments) {
  review::record_file record(arguments.record);
  const auto serve = [](connection& to, const arrived_request& call) {
    return to.Send(review::WholeAnswer(call, "done"));
  };
  review::replica look(record, "i-look-1", "look", "zone-1", "127.0.53.1",
                       serve);
  review::replica other(record, "i-other-1", "other", "zone-2", "127.0.53.2",
                        serve);
  review::deployment system(record, arguments.folder, 1);
  system.Start();
  const review::route_terms route = {
      .name = "r-look", .prefix = "/look/", .service = "look"};
  const std::vector<std::string> services = {"look", "other"};
  const std::vector<review::tenant_terms> tenants = {
      {.name = "depot-1", .key = kKey}};
  if (!look.listens() || !other.listens() ||
      system.Configure(review::Configuration(7, {route}, services, tenants))
              .status != 200) {
    return review::kCannotRun;
  }
  system.Announce({&look, &other});
  if (!system.AwaitService(0, {.path = "/look/x", .key = kKey})) {
    return review::kCannotRun;
  }
  review::SleepMs(4000);
  // Written in the same way it is refused, as it should be.
  review::route_terms same = route;
  same.name = "r-mistake";
  same.service = "other";
  const answer refused = system.Configure(
      review::Configuration(9, {route, same}, services, tenants));
  if (refused.status / 100 != 4) {
    return review::kBroken;
  }
  if (arguments.trouble) {
    same.host = "Shop.example";
  } else {
    same.host = "other.example";
  }
  const answer got = system.Configure(
      review::Configuration(12, {route, same}, services, tenants));
  review::SleepMs(kApplyMs);
  const int before = other.runs();
  for (int i = 1; i <= kCalls; ++i) {
    const auto client = connection::Connect(system.Router(0));
    if (!client) {
      return review::kCannotRun;
    }
    client->Send(review::request{
        .path = "/look/x", .id = "look-" + std::to_string(i), .key = kKey}
                     .Bytes());
    review::ReadAnswer(*client, "GET", std::chrono::seconds(4));
  }
  const int foreign = other.runs() - before;
  record.Add("of " + std::to_string(kCalls) + " requests on r-look, " +
             std::to_string(foreign) + " ran at the service of r-mistake");
  const bool acknowledged = arguments.trouble && got.status / 100 == 2;
  record.Add(std::string("the invalid configuration ") +
             (acknowledged ? "is acknowledged" : "is not acknowledged"));
  return acknowledged || foreign > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = review::ReadArguments(argc, argv);
  return arguments ? Run(*arguments) : review::kCannotRun;
}
