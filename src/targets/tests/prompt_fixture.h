// One router's directory of engines, for tests of placement.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "framework/seeded_random.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {

// Directory of one router that shares the engines of a pool with other routers.
struct prompt_fixture {
  seeded_random random{5};
  time_point now{std::chrono::seconds(1000)};
  target_directory directory{Options(), random};

  static directory_options Options() {
    directory_options options;
    options.local_data_centre = data_centre_id("cheras");
    options.self = daemon_id("r0");
    return options;
  }
  void Announce(
      const std::string& name,
      std::uint64_t sequence = 1,
      std::chrono::milliseconds cold_for = std::chrono::milliseconds(0)) {
    directory.Announce({.target = target_id(name),
                        .life = incarnation(1),
                        .data_centre = data_centre_id("cheras"),
                        .pools = {pool_id("llm")},
                        .state = target_state::kReady,
                        .slots = 64,
                        .cold_slots = 16,
                        .sequence = sequence,
                        .cold_for = cold_for},
                       now);
  }
  void AnnounceThree() {
    directory.SetCacheCapacity(pool_id("llm"), 500'000);
    for (const char* name : {"a", "b", "c"}) {
      Announce(name);
    }
  }
  static prompt Prompt(std::uint64_t session, std::uint32_t own_tokens) {
    static std::uint64_t last_own = 1'000'000;
    return {.input_tokens = 4000 + own_tokens,
            .max_output_tokens = 100,
            .parts = {{.id = session, .tokens = 4000},
                      {.id = ++last_own, .tokens = own_tokens}}};
  }
  std::optional<choice> Choose(const prompt& prompt,
                               placement_constraints constraints = {}) {
    return directory.ChooseForPrompt(pool_id("llm"), {}, prompt, constraints,
                                     now);
  }
};

}  // namespace burdocklock::targets
