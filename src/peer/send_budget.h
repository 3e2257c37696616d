// Decides which messages are kept in memory until they are sent, so that what
// all links together keep is bounded. Without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace burdocklock::peer {

/// What becomes of a message for which there is no memory, in the order in
/// which they are refused.
enum class delivery {
  /// Dropped: the next one replaces it.
  kReplaceable,
  /// The link is closed, as its peer would miss the message.
  kRequired,
  /// Dropped; refused last, as the replicated log depends on it and sends it
  /// again. A link that would keep too much by itself is closed, though.
  kUrgent,
};

/// Bytes of payload that wait to be sent or are being written.
struct send_limits {
  /// A link that would keep more is closed.
  std::size_t link = 32 * 1024 * 1024;
  std::size_t link_replaceable = 128 * 1024;
  /// A link that keeps more has no room for whole lists until it keeps an
  /// eighth of this.
  std::size_t link_lists = 2 * 1024 * 1024;
  /// On all links. Messages that are not urgent take half of it: beyond that,
  /// replaceable ones are dropped, and for others the links with most bytes
  /// are closed. Until these are gone, required ones take up to two thirds.
  std::size_t total = 48 * 1024 * 1024;
};

/// One connection; a link that is opened again is another.
using connection_key = std::uint64_t;

struct send_verdict {
  bool is_kept = false;
  /// Connections to close, without a handshake.
  std::vector<connection_key> to_close;
};

/// Counts a payload that is sent on several links once.
///
/// Invariants: `kept_bytes` is at most `send_limits::total`, and what a
/// connection keeps at most `send_limits::link`; nothing is kept for a
/// connection once it is to be closed.
class send_budget {
 public:
  explicit send_budget(send_limits limits) : limits_(limits) {}

  /// Whether to send whole lists on this connection now. Senders of whole state
  /// to many links ask this first.
  [[nodiscard]] bool HasRoom(connection_key connection) const;
  /// `added_bytes` is what the sum grows by: 0 if another link keeps the
  /// payload already.
  [[nodiscard]] send_verdict Admit(connection_key connection,
                                   std::size_t bytes,
                                   std::size_t added_bytes,
                                   delivery delivery);
  /// To be called for what was admitted; released by the calls below.
  void KeepPayload(std::size_t bytes, delivery delivery);
  void KeepFor(connection_key connection, std::size_t bytes, delivery delivery);
  void ReleasePayload(std::size_t bytes, delivery delivery);
  void ReleaseFor(connection_key connection, std::size_t bytes);
  /// The connection is closed; what it keeps is released later.
  void OnClosed(connection_key connection);

  [[nodiscard]] std::size_t kept_bytes() const { return others_ + urgent_; }
  /// True from when messages are refused or links closed for the sum, until
  /// a quarter of it is kept.
  [[nodiscard]] bool is_short() const { return is_short_; }
  /// Messages refused because of the sum, since the start.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  struct connection_state {
    std::size_t bytes = 0;
    bool carries_urgent = false;
    /// No room for lists.
    bool is_full = false;
    bool is_closing = false;
  };
  using connection_map = std::map<connection_key, connection_state>;

  [[nodiscard]] std::size_t BytesOf(connection_key connection) const;
  [[nodiscard]] bool Fits(std::size_t added_bytes, delivery delivery) const;
  /// The connection with most bytes that isn't closing; those that carry urgent
  /// messages last if `spares_urgent`.
  [[nodiscard]] connection_map::const_iterator Largest(
      bool spares_urgent) const;
  /// Closes the largest connections until what is not urgent and is added takes
  /// half of the limit. Bytes that others share are taken to be freed, too: if
  /// they are not, the next message closes more.
  void CloseLargest(std::size_t added_bytes, send_verdict& verdict);
  void CloseForUrgent(send_verdict& verdict);
  void Close(connection_key connection, send_verdict& verdict);

  send_limits limits_;
  std::size_t others_ = 0;
  std::size_t urgent_ = 0;
  /// Of connections that are closing.
  std::size_t closing_ = 0;
  bool is_short_ = false;
  std::uint64_t refused_ = 0;
  /// Those that keep any bytes.
  connection_map connections_;
};

}  // namespace burdocklock::peer
