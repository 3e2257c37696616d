// Fuzzes parsing, validation and route lookup of configurations.
#include "fuzz/fuzz_input.h"
#include "route_interface/configuration_document.h"
#include "routes/configuration_checks.h"
#include "routes/route_index.h"

namespace fuzz = burdocklock::fuzz;
namespace routes = burdocklock::routes;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto read = burdocklock::route_interface::configuration_document().Read(
      fuzz::ToText(data, size));
  if (!read || !routes::Check(read.value())) {
    return 0;
  }
  const routes::route_index index(read.value());
  for (const routes::route& route : read.value().routes) {
    const routes::route* matched =
        index.Match(route.host_name, route.path_prefix);
    fuzz::Require(matched != nullptr, "a route matches its own prefix");
    fuzz::Require(matched->path_prefix == route.path_prefix,
                  "the longest matching prefix is selected");
    routes::PickService(route, size);
  }
  return 0;
}
