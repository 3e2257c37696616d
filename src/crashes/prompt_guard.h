// Decides which requests are refused because targets end when they run them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "crashes/evidence_store.h"
#include "crashes/served_suspects.h"
#include "crashes/types/evidence.h"
#include "crashes/types/request_suspects.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::crashes {

/// A suspect was blocked, or released because a target has served it.
struct block_change {
  pool_suspect key;
  bool blocked = false;
  /// Target ends that are blamed on it.
  std::size_t ends = 0;
  std::uint32_t times_blocked = 0;
  /// How long requests with it are refused.
  duration remaining{};
};

/// Why a request is refused, and for how long.
struct active_block {
  duration remaining{};
  suspect_kind kind = suspect_kind::kPart;
};

/// Finds the shared prompt parts whose requests end targets, and the requests
/// that end them each time they are repeated whole.
///
/// Invariants: a suspect is blocked only if it was in a request of every target
/// end that is blamed on it, and no target has served it since the first of
/// these; evidence from other routers has the same effect as own evidence.
class prompt_guard {
 public:
  explicit prompt_guard(daemon_id self) : self_(std::move(self)) {}

  /// A target ended before it had served this request.
  void OnTargetEnded(const target_id& target,
                     incarnation life,
                     const request_suspects& request,
                     time_point now);
  /// A target began to answer the request at `began` and continued to run.
  void OnServed(const request_suspects& request,
                time_point began,
                time_point now);
  /// The request is sent to a target.
  void OnSent(const request_suspects& request, time_point now);
  /// Without contact to control hosts, what was served before is not blocked:
  /// other routers may see them served.
  void SetContact(bool in_contact, time_point now);
  /// Merges evidence of other routers.
  void OnEvidence(const evidence& received, time_point now);
  /// Call when `NextDeadline` has passed.
  void OnTick(time_point now);
  [[nodiscard]] time_point NextDeadline() const { return next_evaluation_; }

  /// Nullopt if the request is not refused.
  [[nodiscard]] std::optional<active_block> BlockedFor(
      const request_suspects& request,
      time_point now) const;
  /// The kind of suspect whose block has ended while no outcome of a trial is
  /// known yet, if the request has one.
  [[nodiscard]] std::optional<suspect_kind> AwaitsTrial(
      const request_suspects& request,
      time_point now) const;
  /// Whether targets have recently served every shared part of the prompt, so
  /// that another target's end says little about it.
  [[nodiscard]] bool IsTrusted(const request_suspects& request,
                               time_point now) const;
  /// Whether several targets have ended with this very request since one
  /// served it.
  [[nodiscard]] bool HasEndedSeveral(const request_suspects& request) const;

  /// Returns and clears what other routers do not know yet.
  evidence TakeNews();
  [[nodiscard]] bool has_news() const { return !news_.empty(); }
  /// Evidence that a control host may lack. A first block is left out, as it
  /// follows from the ends.
  [[nodiscard]] evidence KnownEvidence(time_point now) const;
  /// Returns and clears the changes since the last call.
  std::vector<block_change> TakeChanges();
  [[nodiscard]] bool HasBlocks() const { return !store_.blocked().empty(); }
  /// Number of suspects that are blocked at present.
  [[nodiscard]] std::size_t BlockedCount(time_point now) const;

 private:
  using end_list = std::vector<const evidence_store::end_record*>;
  struct candidate {
    pool_suspect key;
    std::size_t ends = 0;
  };

  served_suspects& ServedOf(suspect_kind kind) {
    return kind == suspect_kind::kPart ? served_parts_ : served_requests_;
  }
  /// When a target last served it, as far as this router knows.
  [[nodiscard]] std::optional<time_point> LastServed(
      const pool_suspect& key) const;
  /// Returns what was not known before.
  evidence Learn(const evidence& received, time_point now);
  /// Reports when this router last saw the suspects served.
  void ReportServed(const target_end& end, time_point now);
  void Evaluate(time_point now);

  // Weighing of the evidence (evidence_weighing.cc).
  void BlockRequests(time_point now);
  void BlockParts(time_point now);
  /// Those of the kind whose ends suffice to block them.
  std::vector<candidate> FindCandidates(suspect_kind kind, time_point now);
  /// The candidates with the most ends; empty if there are none.
  std::vector<candidate> WorstParts(time_point now);
  /// Ends of targets since one last served the suspect.
  [[nodiscard]] std::size_t EndsSinceServed(const pool_suspect& key) const;
  [[nodiscard]] std::size_t BlamedEnds(const pool_suspect& key,
                                       const end_list& ends,
                                       time_point now);
  /// Number of separate moments at which targets ended with the part.
  [[nodiscard]] std::size_t MomentsSince(const pool_suspect& key,
                                         time_point since) const;
  void Block(const candidate& found, time_point now);
  void NoteBlocked(const pool_suspect& key, std::size_t ends, time_point now);
  [[nodiscard]] bool IsActive(const pool_suspect& key, time_point now) const;
  /// Whether a block of it has ended and was not lifted.
  [[nodiscard]] bool IsHalfOpen(const pool_suspect& key, time_point now) const;
  [[nodiscard]] bool IsLifted(const pool_suspect& key,
                              const evidence_store::block_record& block) const;
  /// Whether another blocked suspect was in a request of the target.
  [[nodiscard]] bool IsExplained(const evidence_store::end_record& end,
                                 const pool_suspect& except,
                                 time_point now) const;
  /// Whether ends without the suspect happened at almost the same time.
  [[nodiscard]] bool IsCommonCause(const evidence_store::end_record& end,
                                   const pool_suspect& key,
                                   time_point now) const;
  [[nodiscard]] time_point EndOf(
      const pool_suspect& key,
      const evidence_store::block_record& block) const;

  daemon_id self_;
  evidence_store store_;
  evidence news_;
  std::vector<block_change> changes_;
  served_suspects served_parts_;
  served_suspects served_requests_;
  /// Until when the outcome of a request with a suspect whose block has ended
  /// is awaited.
  std::map<pool_suspect, time_point> trials_;
  time_point next_evaluation_ = kNever;
  time_point in_contact_since_ = kNever;
};

}  // namespace burdocklock::crashes
