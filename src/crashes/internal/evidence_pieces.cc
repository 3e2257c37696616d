// Fills one piece after the other.
#include "crashes/evidence_pieces.h"

#include <utility>

namespace burdocklock::crashes {

namespace {

std::size_t EntriesOf(const target_end& end) {
  return 1 + end.parts.size() + end.requests.size();
}

class piece_list {
 public:
  explicit piece_list(std::size_t max_entries) : max_entries_(max_entries) {}

  /// The piece that takes so many entries more.
  evidence& PieceFor(std::size_t entries) {
    if (pieces_.empty() || entries_ + entries > max_entries_) {
      pieces_.emplace_back();
      entries_ = 0;
    }
    entries_ += entries;
    return pieces_.back();
  }
  std::vector<evidence> Take() { return std::move(pieces_); }

 private:
  std::size_t max_entries_;
  std::vector<evidence> pieces_;
  /// In the last piece.
  std::size_t entries_ = 0;
};

}  // namespace

std::vector<evidence> InPieces(evidence whole, std::size_t max_entries) {
  piece_list pieces(max_entries);
  for (target_end& end : whole.ends) {
    pieces.PieceFor(EntriesOf(end)).ends.push_back(std::move(end));
  }
  for (served_suspect& served : whole.served) {
    pieces.PieceFor(1).served.push_back(std::move(served));
  }
  for (blocked_suspect& blocked : whole.blocked) {
    pieces.PieceFor(1).blocked.push_back(std::move(blocked));
  }
  return pieces.Take();
}

}  // namespace burdocklock::crashes
