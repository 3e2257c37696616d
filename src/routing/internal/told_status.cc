// See the header.
#include "routing/told_status.h"

#include "refusals/types/refusal.h"

namespace burdocklock::routing {

bool MayTell(unsigned status, const run_facts& facts) {
  return facts.repeatable || !facts.may_have_run ||
         !refusals::PromisesNotRun(status);
}

}  // namespace burdocklock::routing
