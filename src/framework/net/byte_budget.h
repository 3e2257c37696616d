// Bounds the bytes of incomplete and unfinished messages that a thread keeps,
// so that peers which send without end cannot use up its memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>

namespace burdocklock::net {

class byte_hold;

/// Shared by the readers of one thread; must outlive their holds.
///
/// A message of up to `kUncountedBytes` always has room. If larger ones need
/// more than the capacity together, the largest that is still being read gives
/// way: one without end is soon the largest, and sound ones go on.
///
/// Invariant: the counted bytes never exceed the capacity.
class byte_budget {
 public:
  static constexpr std::size_t kUncountedBytes = 16 * 1024;

  explicit byte_budget(std::size_t capacity) : capacity_(capacity) {}

  /// Bytes of the counted messages.
  [[nodiscard]] std::size_t counted() const { return counted_; }
  /// Messages given up for lack of room, since the start.
  [[nodiscard]] std::uint64_t given_up() const { return given_up_; }

 private:
  friend class byte_hold;

  bool Resize(byte_hold& hold, std::size_t bytes);
  void Release(byte_hold& hold);
  /// Gives up the largest message other than `hold` that has more than `bytes`;
  /// false if there is none.
  bool GiveUpLarger(const byte_hold& hold, std::size_t bytes);

  std::size_t capacity_;
  std::size_t counted_ = 0;
  std::uint64_t given_up_ = 0;
  /// Counted messages that are being read, by size.
  std::set<std::pair<std::size_t, byte_hold*>> reading_;
};

/// The bytes of one message.
class byte_hold {
 public:
  /// `give_up` is called if the message has to give way to another; it must
  /// stop the reading, and must not destroy the hold.
  byte_hold(byte_budget& budget, std::function<void()> give_up)
      : budget_(budget), give_up_(std::move(give_up)) {}
  ~byte_hold() { budget_.Release(*this); }
  byte_hold(const byte_hold&) = delete;
  byte_hold& operator=(const byte_hold&) = delete;

  /// Sets the size of the message; false if it must be given up.
  [[nodiscard]] bool Resize(std::size_t bytes) {
    return budget_.Resize(*this, bytes);
  }
  /// The message is complete: it is not given up any more.
  void Complete();
  [[nodiscard]] bool given_up() const { return is_given_up_; }

 private:
  friend class byte_budget;

  byte_budget& budget_;
  std::function<void()> give_up_;
  /// 0 if not counted.
  std::size_t bytes_ = 0;
  bool is_complete_ = false;
  bool is_given_up_ = false;
};

}  // namespace burdocklock::net
