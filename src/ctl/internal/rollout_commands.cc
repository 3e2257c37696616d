// See the header.
#include "ctl/rollout_commands.h"

#include <exception>
#include <iostream>

#include <nlohmann/json.hpp>

#include "ctl/table.h"

namespace burdocklock::ctl {

namespace {

constexpr char kRollouts[] = "/v1/rollouts/";

void PrintRollout(const nlohmann::ordered_json& rollout) {
  std::cout << rollout.at("version").get<std::string>() << ", within "
            << rollout.at("duration_ms")
            << " ms: " << rollout.at("phase").get<std::string>() << '\n';
  PrintRows(rollout.at("steps"), std::cout);
}

}  // namespace

int BeginRollout(const ctl_options& options,
                 const std::string& service,
                 const std::string& version,
                 double seconds) {
  const nlohmann::json order = {
      {"service", service}, {"version", version}, {"duration_s", seconds}};
  const auto begun =
      MakeClient(options).Post(kRollouts + service, order.dump());
  if (!begun) {
    return Fail(begun.error());
  }
  std::cout << service << " to " << version << ": ordered\n";
  return kExitOk;
}

int ShowRollout(const ctl_options& options, const std::string& service) {
  return Show(options, kRollouts + service, "");
}

int ShowRolloutHistory(const ctl_options& options, const std::string& service) {
  const auto document =
      MakeClient(options).Get(kRollouts + service + "/history");
  if (!document) {
    return Fail(document.error());
  }
  if (options.json) {
    std::cout << document.value().dump(2) << '\n';
    return kExitOk;
  }
  try {
    const nlohmann::ordered_json& rollouts = document.value().at("rollouts");
    for (const nlohmann::ordered_json& rollout : rollouts) {
      PrintRollout(rollout);
    }
    if (rollouts.empty()) {
      std::cout << "none\n";
    }
  } catch (const std::exception& problem) {
    return Fail({.code = error_code::kMalformed,
                 .step = "read history of rollouts",
                 .peer = options.address,
                 .detail = problem.what()});
  }
  return kExitOk;
}

}  // namespace burdocklock::ctl
