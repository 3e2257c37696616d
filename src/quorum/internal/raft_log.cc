// Access to the in-memory Raft log, its truncation and compaction, and the
// replay of storage records at recovery.
#include "quorum/raft_log.h"

#include <type_traits>
#include <utility>

#include "quorum/types/storage_record.h"

namespace burdocklock::quorum {

raft_log::raft_log(snapshot base, std::vector<log_entry> entries)
    : base_(std::move(base)), entries_(entries.begin(), entries.end()) {
  UpdateMembersIndex();
}

log_index raft_log::last_index() const {
  return entries_.empty() ? base_.last_index : entries_.back().index;
}

term_number raft_log::last_term() const {
  return entries_.empty() ? base_.last_term : entries_.back().term;
}

std::optional<term_number> raft_log::TermAt(log_index index) const {
  if (index == base_.last_index) {
    return base_.last_term;
  }
  if (index < base_.last_index || index > last_index()) {
    return std::nullopt;
  }
  return EntryAt(index).term;
}

const log_entry& raft_log::EntryAt(log_index index) const {
  return entries_[index.value() - base_.last_index.value() - 1];
}

std::vector<log_entry> raft_log::EntriesFrom(log_index first,
                                             std::size_t max_count,
                                             std::size_t max_bytes) const {
  std::vector<log_entry> entries;
  std::size_t bytes = 0;
  for (log_index index = first;
       index <= last_index() && entries.size() < max_count && bytes < max_bytes;
       index = index + 1) {
    entries.push_back(EntryAt(index));
    bytes += entries.back().command.size();
  }
  return entries;
}

void raft_log::Append(log_entry entry) {
  if (entry.kind == entry_kind::kMembership) {
    members_index_ = entry.index;
  }
  entries_.push_back(std::move(entry));
}

void raft_log::Truncate(log_index first) {
  while (!entries_.empty() && entries_.back().index >= first) {
    entries_.pop_back();
  }
  UpdateMembersIndex();
}

void raft_log::Compact(snapshot base) {
  while (!entries_.empty() && entries_.front().index <= base.last_index) {
    entries_.pop_front();
  }
  base_ = std::move(base);
  UpdateMembersIndex();
}

void raft_log::Reset(snapshot base) {
  entries_.clear();
  base_ = std::move(base);
  UpdateMembersIndex();
}

const membership& raft_log::members() const {
  return members_index_ == base_.last_index ? base_.members
                                            : EntryAt(members_index_).members;
}

log_index raft_log::members_index() const {
  return members_index_;
}

void raft_log::UpdateMembersIndex() {
  members_index_ = base_.last_index;
  for (const log_entry& entry : entries_) {
    if (entry.kind == entry_kind::kMembership) {
      members_index_ = entry.index;
    }
  }
}

void Apply(const storage_record& record, durable_state& state) {
  const auto visitor = [&state](const auto& value) {
    using record_type = std::decay_t<decltype(value)>;
    if constexpr (std::is_same_v<record_type, vote_record>) {
      state.term = value.term;
      state.vote = value.vote;
    } else if constexpr (std::is_same_v<record_type, append_record>) {
      state.entries.push_back(value.entry);
    } else if constexpr (std::is_same_v<record_type, truncate_record>) {
      std::erase_if(state.entries, [&](const log_entry& entry) {
        return entry.index >= value.first;
      });
    } else {
      state = value.state;
    }
  };
  std::visit(visitor, record);
}

}  // namespace burdocklock::quorum
