// Decides which statuses of targets a caller may be told.
#pragma once

namespace burdocklock::routing {

/// What is known of a request from all its attempts.
struct run_facts {
  /// False if it may run at most once.
  bool repeatable = false;
  /// A target may have started it.
  bool may_have_run = true;
};

/// True if a target's response with `status` may be forwarded. Callers take
/// some statuses for a promise that the request did not run, and repeat then
/// what must not run twice; those are forwarded only if that does no harm. The
/// caller gets a refusal otherwise, whose status follows from the same facts
/// (`refusals::HttpStatus`).
[[nodiscard]] bool MayTell(unsigned status, const run_facts& facts);

}  // namespace burdocklock::routing
