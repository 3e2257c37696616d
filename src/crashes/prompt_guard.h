// Decides which prompts are refused because targets end when they process them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "crashes/evidence_store.h"
#include "crashes/served_parts.h"
#include "crashes/types/evidence.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/types/prompt.h"

namespace burdocklock::crashes {

/// A part was blocked, or released because a target has served it.
struct block_change {
  pool_part key;
  bool blocked = false;
  /// Target ends that are blamed on the part.
  std::size_t ends = 0;
  std::uint32_t times_blocked = 0;
  /// How long prompts with the part are refused.
  duration remaining{};
};

/// Finds the shared prompt parts whose requests end targets. The last part of a
/// prompt is never blamed: other prompts do not contain it.
///
/// Invariants: a part is blocked only if it was in a request of every target
/// end that is blamed on it, and no target has served it since the first of
/// these; evidence from other routers has the same effect as own evidence.
class prompt_guard {
 public:
  explicit prompt_guard(daemon_id self) : self_(std::move(self)) {}

  /// A target ended before it had served this prompt.
  void OnTargetEnded(const target_id& target,
                     incarnation life,
                     const pool_id& pool,
                     const targets::prompt& suspect,
                     time_point now);
  /// A target began to answer the prompt at `began` and continued to run.
  void OnServed(const pool_id& pool,
                const targets::prompt& prompt,
                time_point began,
                time_point now);
  /// The prompt is sent to a target.
  void OnSent(const pool_id& pool,
              const targets::prompt& prompt,
              time_point now);
  /// Without contact to control hosts, parts that were served before are not
  /// blocked: other routers may see them served.
  void SetContact(bool in_contact, time_point now);
  /// Merges evidence of other routers.
  void OnEvidence(const evidence& received, time_point now);
  /// Call when `NextDeadline` has passed.
  void OnTick(time_point now);
  [[nodiscard]] time_point NextDeadline() const { return next_evaluation_; }

  /// Remaining time for which the prompt is refused; nullopt if it is not.
  [[nodiscard]] std::optional<duration> BlockedFor(
      const pool_id& pool,
      const targets::prompt& prompt,
      time_point now) const;
  /// Returns whether targets have recently served every shared part of the
  /// prompt, so that another target's end says little about it.
  [[nodiscard]] bool IsTrusted(const pool_id& pool,
                               const targets::prompt& prompt,
                               time_point now) const;

  /// Returns and clears what other routers do not know yet.
  evidence TakeNews();
  [[nodiscard]] bool has_news() const { return !news_.empty(); }
  /// Evidence that a control host may lack. A first block is left out, as it
  /// follows from the ends.
  [[nodiscard]] evidence KnownEvidence(time_point now) const;
  /// Returns and clears the changes since the last call.
  std::vector<block_change> TakeChanges();
  [[nodiscard]] bool HasBlocks() const { return !store_.blocked().empty(); }
  /// Number of parts that are blocked at present.
  [[nodiscard]] std::size_t BlockedCount(time_point now) const;

 private:
  using end_list = std::vector<const evidence_store::end_record*>;
  struct candidate {
    pool_part key;
    std::size_t ends = 0;
  };

  /// Returns what was not known before.
  evidence Learn(const evidence& received, time_point now);
  /// Reports when this router last saw the suspects served.
  void ReportServed(const target_end& end, time_point now);
  void Evaluate(time_point now);

  // Weighing of the evidence (evidence_weighing.cc).
  /// The parts with the most ends that suffice to block them; empty if none.
  std::vector<candidate> WorstParts(time_point now);
  [[nodiscard]] std::size_t BlamedEnds(const pool_part& key,
                                       const end_list& ends,
                                       time_point now);
  /// Number of separate moments at which targets ended with the part.
  [[nodiscard]] std::size_t MomentsSince(const pool_part& key,
                                         time_point since) const;
  void Block(const candidate& found, time_point now);
  void NoteBlocked(const pool_part& key, std::size_t ends, time_point now);
  [[nodiscard]] bool IsActive(const pool_part& key, time_point now) const;
  [[nodiscard]] bool IsLifted(const pool_part& key,
                              const evidence_store::block_record& block) const;
  /// Whether another blocked part was in a request of the target.
  [[nodiscard]] bool IsExplained(const evidence_store::end_record& end,
                                 std::uint64_t except) const;
  /// Whether an end without the part happened at almost the same time.
  [[nodiscard]] bool IsCommonCause(const evidence_store::end_record& end,
                                   std::uint64_t part) const;
  [[nodiscard]] time_point EndOf(
      const pool_part& key,
      const evidence_store::block_record& block) const;

  daemon_id self_;
  evidence_store store_;
  evidence news_;
  std::vector<block_change> changes_;
  served_parts served_;
  /// Until when the outcome of a request with a part whose block has ended is
  /// awaited.
  std::map<pool_part, time_point> trials_;
  time_point next_evaluation_ = kNever;
  time_point in_contact_since_ = kNever;
};

}  // namespace burdocklock::crashes
