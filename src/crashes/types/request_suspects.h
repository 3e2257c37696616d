// What of a request may end the target that runs it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "crashes/types/evidence.h"
#include "framework/types/ids.h"
#include "targets/types/prompt.h"

namespace burdocklock::crashes {

struct request_suspects {
  pool_id pool;
  /// Parts of its prompt that other prompts may share.
  std::vector<std::uint64_t> shared_parts;
  /// The request itself, as it may be repeated whole.
  std::optional<request_fingerprint> fingerprint;

  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const std::uint64_t part : shared_parts) {
      visit(pool_suspect{.pool = pool, .id = part});
    }
    if (fingerprint) {
      visit(pool_suspect{.pool = pool,
                         .id = fingerprint->value(),
                         .kind = suspect_kind::kRequest});
    }
  }
};

/// The last part of a prompt is left out: no other request contains it.
inline request_suspects SuspectsOf(
    const pool_id& pool,
    const std::optional<targets::prompt>& prompt,
    const std::optional<request_fingerprint>& fingerprint = std::nullopt) {
  return {.pool = pool,
          .shared_parts = prompt ? targets::SharedParts(*prompt)
                                 : std::vector<std::uint64_t>(),
          .fingerprint = fingerprint};
}

}  // namespace burdocklock::crashes
