// See the header.
#include "ctl/command_line.h"

#include <chrono>
#include <cstdint>
#include <iostream>

#include "ctl/table.h"

namespace burdocklock::ctl {

operator_client MakeClient(const ctl_options& options) {
  constexpr double kMillisecondsPerSecond = 1000;
  return {options.address, options.token,
          std::chrono::milliseconds(static_cast<std::int64_t>(
              options.timeout_s * kMillisecondsPerSecond))};
}

int Fail(const error& problem) {
  std::cerr << "burdocklockctl: " << problem.Message() << '\n';
  return problem.code == error_code::kUnauthorised ? kExitRefused
                                                   : kExitUnreachable;
}

int Show(const ctl_options& options,
         const std::string& path,
         const std::string& list) {
  const operator_client client = MakeClient(options);
  const auto document = client.Get(path);
  if (!document) {
    return Fail(document.error());
  }
  if (options.json) {
    std::cout << document.value().dump(2) << '\n';
  } else if (list.empty()) {
    PrintFields(document.value(), std::cout);
  } else {
    PrintRows(document.value()[list], std::cout);
  }
  return kExitOk;
}

}  // namespace burdocklock::ctl
