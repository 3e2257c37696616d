// Admits messages while the bytes of their kind fit.
#include "peer/send_budget.h"

#include <algorithm>
#include <utility>

namespace burdocklock::peer {

namespace {

// A full connection has room again at this part of its limit for lists, so that
// a slow one drains between two lists.
constexpr std::size_t kRoomDivisor = 8;
// Memory is no longer short at this part of the sum.
constexpr std::size_t kFreeDivisor = 4;

}  // namespace

bool send_budget::HasRoom(connection_key connection) const {
  const auto found = connections_.find(connection);
  return found == connections_.end() || !found->second.is_full;
}

std::size_t send_budget::BytesOf(connection_key connection) const {
  const auto found = connections_.find(connection);
  return found == connections_.end() ? 0 : found->second.bytes;
}

bool send_budget::Fits(std::size_t added_bytes, delivery delivery) const {
  if (added_bytes == 0) {
    return true;
  }
  if (kept_bytes() + added_bytes > limits_.total) {
    return false;
  }
  switch (delivery) {
    case delivery::kReplaceable:
      return others_ + added_bytes <= limits_.total / 2;
    case delivery::kRequired:
      return others_ + added_bytes <= limits_.total / 3 * 2;
    case delivery::kUrgent:
      return true;
  }
  return false;
}

send_verdict send_budget::Admit(connection_key connection,
                                std::size_t bytes,
                                std::size_t added_bytes,
                                delivery delivery) {
  send_verdict verdict;
  const std::size_t kept = BytesOf(connection);
  if (delivery == delivery::kReplaceable && kept > limits_.link_replaceable) {
    return verdict;
  }
  if (kept + bytes > limits_.link) {
    Close(connection, verdict);
    return verdict;
  }
  verdict.is_kept = Fits(added_bytes, delivery);
  if (!verdict.is_kept) {
    ++refused_;
    is_short_ = true;
  }
  if (delivery == delivery::kRequired) {
    CloseLargest(added_bytes, verdict);
    if (!verdict.is_kept) {
      Close(connection, verdict);
    }
  }
  if (delivery == delivery::kUrgent && !verdict.is_kept) {
    CloseForUrgent(verdict);
  }
  verdict.is_kept &= std::find(verdict.to_close.begin(), verdict.to_close.end(),
                               connection) == verdict.to_close.end();
  return verdict;
}

send_budget::connection_map::const_iterator send_budget::Largest(
    bool spares_urgent) const {
  const auto rank = [spares_urgent](const connection_state& state) {
    return std::make_pair(!(spares_urgent && state.carries_urgent),
                          state.bytes);
  };
  auto largest = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (!it->second.is_closing && (largest == connections_.end() ||
                                   rank(it->second) > rank(largest->second))) {
      largest = it;
    }
  }
  return largest;
}

void send_budget::CloseLargest(std::size_t added_bytes, send_verdict& verdict) {
  if (added_bytes == 0) {
    return;
  }
  while (others_ + added_bytes > limits_.total / 2 + closing_) {
    const auto largest = Largest(true);
    if (largest == connections_.end()) {
      return;
    }
    is_short_ = true;
    Close(largest->first, verdict);
  }
}

void send_budget::CloseForUrgent(send_verdict& verdict) {
  const auto largest = Largest(false);
  if (largest != connections_.end()) {
    Close(largest->first, verdict);
  }
}

void send_budget::Close(connection_key connection, send_verdict& verdict) {
  OnClosed(connection);
  if (std::find(verdict.to_close.begin(), verdict.to_close.end(), connection) ==
      verdict.to_close.end()) {
    verdict.to_close.push_back(connection);
  }
}

void send_budget::KeepPayload(std::size_t bytes, delivery delivery) {
  (delivery == delivery::kUrgent ? urgent_ : others_) += bytes;
}

void send_budget::KeepFor(connection_key connection,
                          std::size_t bytes,
                          delivery delivery) {
  connection_state& state = connections_[connection];
  state.bytes += bytes;
  state.carries_urgent |= delivery == delivery::kUrgent;
  state.is_full |= state.bytes > limits_.link_lists;
  closing_ += state.is_closing ? bytes : 0;
}

void send_budget::ReleasePayload(std::size_t bytes, delivery delivery) {
  (delivery == delivery::kUrgent ? urgent_ : others_) -= bytes;
  is_short_ &= kept_bytes() > limits_.total / kFreeDivisor;
}

void send_budget::ReleaseFor(connection_key connection, std::size_t bytes) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) {
    return;
  }
  connection_state& state = found->second;
  state.bytes -= bytes;
  state.is_full &= state.bytes > limits_.link_lists / kRoomDivisor;
  closing_ -= state.is_closing ? bytes : 0;
  if (state.bytes == 0) {
    connections_.erase(found);
  }
}

void send_budget::OnClosed(connection_key connection) {
  const auto found = connections_.find(connection);
  if (found != connections_.end() &&
      !std::exchange(found->second.is_closing, true)) {
    closing_ += found->second.bytes;
  }
}

}  // namespace burdocklock::peer
