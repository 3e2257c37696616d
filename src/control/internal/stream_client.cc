// See the header. Where there are more than three control hosts, those that
// hold a router's records are found by rendezvous hashing of its name, so that
// records are sent together, and a host that has restarted is told by its own
// routers only.
#include "control/stream_client.h"

#include <iterator>
#include <string>

#include "targets/rendezvous.h"

namespace burdocklock::control {

using streams::stream_origin;
using streams::stream_record;

namespace {

// More than all streams of a busy router; bounds the memory of questions.
constexpr std::size_t kMaxQuestions = 16'384;
// Records that wait to be sent; beyond it they are sent ahead of time.
constexpr std::size_t kMaxUnsentRecords = kMaxStreamsPerMessage;

// Returns the links to those hosts that should hold the router's records.
std::vector<named_link> HoldersFor(const daemon_id& router,
                                   std::vector<named_link> links) {
  if (links.size() <= streams::kCopies) {
    return links;
  }
  const auto end =
      links.begin() + static_cast<std::ptrdiff_t>(streams::kCopies);
  std::partial_sort(links.begin(), end, links.end(),
                    [&router](const named_link& a, const named_link& b) {
                      return targets::RendezvousWeight(router.value(), a.name) >
                             targets::RendezvousWeight(router.value(), b.name);
                    });
  links.erase(end, links.end());
  return links;
}

template <typename T, typename Send>
void ForEachPiece(const std::vector<T>& all, const Send& send) {
  for (std::size_t start = 0; start < all.size();
       start += kMaxStreamsPerMessage) {
    const std::size_t end = std::min(all.size(), start + kMaxStreamsPerMessage);
    send(std::vector<T>(std::next(all.begin(), static_cast<long>(start)),
                        std::next(all.begin(), static_cast<long>(end))));
  }
}

}  // namespace

void stream_client::Record(const stream_record& record, time_point now) {
  using enum streams::record_result;
  const streams::record_result kept = records_.Record(record, now);
  if (kept == kContradiction) {
    view_.OnStreamContradiction(record);
  }
  // Control hosts must learn of a contradiction too.
  if (kept != kAdded && kept != kRenewed && kept != kContradiction) {
    return;
  }
  unsent_records_.push_back(record);
  records_due_ = std::min(records_due_, now + kStreamRecordInterval);
  if (unsent_records_.size() >= kMaxUnsentRecords) {
    SendRecords(now);
  }
}

void stream_client::Ask(stream_key key, time_point now) {
  if (questions_.contains(key) || answers_.contains(key)) {
    return;
  }
  const auto own = records_.Find(key, now);
  if (own || records_.IsContradicted(key, now) ||
      questions_.size() >= kMaxQuestions) {
    End(key, own ? std::optional(own->origin) : std::nullopt, now);
    return;
  }
  const time_point deadline = now + kStreamAnswerLimit;
  questions_[key] = {.deadline = deadline, .unknown_at = {}};
  deadlines_.emplace_back(deadline, key);
  unsent_questions_.push_back(key);
  questions_due_ = std::min(questions_due_, now + kStreamQueryInterval);
}

void stream_client::OnTick(time_point now) {
  if (now >= records_due_) {
    SendRecords(now);
  }
  if (now >= questions_due_) {
    SendQuestions();
  }
  EndOverdueQuestions(now);
  if (now >= answers_due_) {
    PassOnAnswers();
  }
}

time_point stream_client::NextDeadline() const {
  const time_point limit =
      deadlines_.empty() ? kNever : deadlines_.front().first;
  return std::min({records_due_, questions_due_, limit, answers_due_});
}

void stream_client::OnLinkUp(link_id link, time_point now) {
  // Among all hosts and not only those that are up: after a cut the first link
  // would else get the records of all routers.
  const auto holders = HoldersFor(self_, links_.NamedLinks());
  if (std::any_of(holders.begin(), holders.end(),
                  [link](const auto& h) { return h.link == link; })) {
    SendInPieces(link, records_.All(now));
  }
  std::vector<stream_key> keys;
  for (auto& [key, question] : questions_) {
    question.unknown_at.erase(link);
    keys.push_back(key);
  }
  SendInPieces(link, keys);
}

void stream_client::OnAnswer(link_id link,
                             const stream_answer& answer,
                             time_point now) {
  for (const stream_record& record : answer.known) {
    if (questions_.contains(record.key)) {
      End(record.key, record.origin, now);
    }
  }
  for (const stream_key key : answer.unknown) {
    CountUnknown(link, key, now);
  }
  PassOnAnswers();
}

void stream_client::CountUnknown(link_id link, stream_key key, time_point now) {
  const auto found = questions_.find(key);
  if (found == questions_.end()) {
    return;
  }
  std::set<link_id>& unknown_at = found->second.unknown_at;
  unknown_at.insert(link);
  // Hosts that are not in reach now may come back in time and know.
  const std::vector<named_link> hosts = links_.NamedLinks();
  if (std::all_of(hosts.begin(), hosts.end(), [&](const named_link& host) {
        return unknown_at.contains(host.link);
      })) {
    End(key, std::nullopt, now);
  }
}

void stream_client::SendRecords(time_point now) {
  records_due_ = kNever;
  std::vector<stream_record> records = std::exchange(unsent_records_, {});
  for (stream_record& record : records) {
    // Less the time that has passed since.
    if (const auto known = records_.Find(record.key, now)) {
      record.remaining = known->remaining;
    }
  }
  std::vector<named_link> open = links_.NamedLinks();
  std::erase_if(open, [](const named_link& link) { return !link.up; });
  for (const named_link& holder : HoldersFor(self_, std::move(open))) {
    SendInPieces(holder.link, records);
  }
}

void stream_client::SendQuestions() {
  questions_due_ = kNever;
  const std::vector<stream_key> keys = std::exchange(unsent_questions_, {});
  for (const link_id link : links_.OpenLinks()) {
    SendInPieces(link, keys);
  }
}

void stream_client::SendInPieces(link_id link,
                                 const std::vector<stream_record>& records) {
  ForEachPiece(records, [&](std::vector<stream_record> piece) {
    port_.Send(link, stream_update{.records = std::move(piece)});
  });
}

void stream_client::SendInPieces(link_id link,
                                 const std::vector<stream_key>& keys) {
  ForEachPiece(keys, [&](std::vector<stream_key> piece) {
    port_.Send(link, stream_query{.keys = std::move(piece)});
  });
}

void stream_client::EndOverdueQuestions(time_point now) {
  while (!deadlines_.empty() && deadlines_.front().first <= now) {
    const stream_key key = deadlines_.front().second;
    deadlines_.pop_front();
    const auto found = questions_.find(key);
    if (found != questions_.end() && found->second.deadline <= now) {
      End(key, std::nullopt, now);
    }
  }
}

void stream_client::End(stream_key key,
                        const std::optional<stream_origin>& origin,
                        time_point now) {
  questions_.erase(key);
  answers_.try_emplace(key, origin);
  answers_due_ = now;
}

void stream_client::PassOnAnswers() {
  answers_due_ = kNever;
  for (const auto& [key, origin] : std::exchange(answers_, {})) {
    view_.OnStreamOrigin(key, origin);
  }
}

}  // namespace burdocklock::control
