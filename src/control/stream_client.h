// Router side of the fleet's memory of where streams began: tells control hosts
// of this router's streams, and asks them about others.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "control/i_link_port.h"
#include "control/i_router_view.h"
#include "control/link_set.h"
#include "control/types/message.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "streams/stream_origin_store.h"
#include "streams/types/stream_limits.h"

namespace burdocklock::control {

/// Records are collected for this long before they are sent.
inline constexpr std::chrono::milliseconds kStreamRecordInterval{20};
/// Questions are collected for this long.
inline constexpr std::chrono::milliseconds kStreamQueryInterval{2};
/// A question that no control host has answered by then ends as unknown.
inline constexpr std::chrono::milliseconds kStreamAnswerLimit{250};

/// Deterministic state machine over its ports.
///
/// Invariant: `OnStreamOrigin` is called exactly once for all questions about a
/// stream that are asked before it is called.
class stream_client {
 public:
  /// `port`, `view` and `links` must outlive the client.
  stream_client(daemon_id self,
                i_link_port& port,
                i_router_view& view,
                const link_set& links)
      : self_(std::move(self)), port_(port), view_(view), links_(links) {}

  void Record(const streams::stream_record& record, time_point now);
  void Ask(stream_key key, time_point now);

  void OnTick(time_point now);
  [[nodiscard]] time_point NextDeadline() const;
  /// Must be called once the link counts as open. Sends the records that its
  /// host should hold, as it may have forgotten them, and open questions.
  void OnLinkUp(link_id link, time_point now);
  void OnAnswer(link_id link, const stream_answer& answer, time_point now);

  /// This router's own records.
  [[nodiscard]] const streams::stream_origin_store& records() const {
    return records_;
  }

 private:
  struct question {
    time_point deadline;
    /// Links whose hosts do not know the stream.
    std::set<link_id> unknown_at;
  };

  void SendRecords(time_point now);
  void SendQuestions();
  void SendInPieces(link_id link,
                    const std::vector<streams::stream_record>& records);
  void SendInPieces(link_id link, const std::vector<stream_key>& keys);
  void CountUnknown(link_id link, stream_key key, time_point now);
  void EndOverdueQuestions(time_point now);
  /// Ends a question; its answer is passed on at the next tick at the latest.
  void End(stream_key key,
           const std::optional<streams::stream_origin>& origin,
           time_point now);
  void PassOnAnswers();

  daemon_id self_;
  i_link_port& port_;
  i_router_view& view_;
  const link_set& links_;
  streams::stream_origin_store records_{streams::kRouterCapacity};

  std::vector<streams::stream_record> unsent_records_;
  time_point records_due_ = kNever;
  std::map<stream_key, question> questions_;
  /// Questions in the order of their deadlines; also some that have ended.
  std::deque<std::pair<time_point, stream_key>> deadlines_;
  std::vector<stream_key> unsent_questions_;
  time_point questions_due_ = kNever;
  /// Answers to questions that have ended.
  std::map<stream_key, std::optional<streams::stream_origin>> answers_;
  time_point answers_due_ = kNever;
};

}  // namespace burdocklock::control
