// Part of http_server: accepts connections, within turns of the event loop that
// leave time for the requests already accepted.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/socket_base.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/internal/http_server_state.h"

namespace burdocklock::net {

namespace {

using std::chrono::steady_clock;

// Delay before the next accept while no connection can be accepted.
constexpr std::chrono::milliseconds kBlockedRetryDelay{20};
// Bounds the time for which accepting delays the requests already accepted: so
// many connections, or more in a fraction of the time since the last ones were
// accepted. With a fixed number, longer turns would accept fewer a second, and
// callers would have left before their turn comes.
constexpr int kMinAcceptsAtOnce = 32;
constexpr int kAcceptTimeDivisor = 4;
// What is accepted in a turn is read and answered in the next, which must not
// make turns ever longer.
constexpr std::chrono::milliseconds kMaxAcceptTime{10};
// While new callers are refused as they are accepted, which makes no work for
// later turns.
constexpr int kRefuseTimeDivisor = 2;
constexpr std::chrono::milliseconds kMaxRefuseTime{20};
// Then they are also accepted in the middle of a turn, after so much other
// work, or as much as the time that accepting took.
constexpr std::chrono::milliseconds kAcceptInterval{5};
// A turn that has lasted for so long must end before more are accepted, as
// those that are not refused prolong it.
constexpr std::chrono::milliseconds kMaxAcceptTurn{100};

// The time since the last byte arrived at a new connection.
duration QuietTime(tcp_stream& stream) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed = getsockopt(stream.socket().native_handle(), IPPROTO_TCP,
                                TCP_INFO, &info, &size);
  return std::chrono::milliseconds(failed == 0 ? info.tcpi_last_data_recv : 0);
}

}  // namespace

void http_server::state::AcceptLoop() {
  beast::error_code ignored;
  acceptor.non_blocking(true, ignored);
  while (!stopping) {
    if (!CanAccept()) {
      SetBlocked(true);
      SleepFor(context, kBlockedRetryDelay);
      continue;
    }
    SetBlocked(false);
    tcp_stream stream(context);
    const beast::error_code ec =
        acceptor.async_accept(stream.socket(), use_fiber);
    if (stopping) {
      break;
    }
    if (ec) {
      AcceptAfterFailure();
      continue;
    }
    Serve(std::move(stream));
    if (AcceptPending()) {
      AcceptInTurns();
    }
  }
  SetBlocked(false);
}

void http_server::state::AcceptInTurns() {
  while (!stopping && TurnsAway() && CanAccept()) {
    WakeForCaller();
    YieldInTurn(
        TurnTime() < kMaxAcceptTurn
            ? std::optional(std::max<duration>(kAcceptInterval, accepts_took))
            : std::nullopt);
    if (stopping || !AcceptPending()) {
      return;
    }
  }
}

void http_server::state::WakeForCaller() {
  if (wakes_for_caller) {
    return;
  }
  wakes_for_caller = true;
  acceptor.async_wait(asio::socket_base::wait_read,
                      [self = shared_from_this()](const beast::error_code&) {
                        self->wakes_for_caller = false;
                      });
}

bool http_server::state::AcceptPending() {
  const time_point began = steady_clock::now();
  const duration since_last = began - last_accepts;
  const time_point until =
      began + (TurnsAway() ? std::min<duration>(since_last / kRefuseTimeDivisor,
                                                kMaxRefuseTime)
                           : std::min<duration>(since_last / kAcceptTimeDivisor,
                                                kMaxAcceptTime));
  last_accepts = began;
  for (int accepted = 1; CanAccept() && (accepted < kMinAcceptsAtOnce ||
                                         steady_clock::now() < until);
       ++accepted) {
    tcp_stream stream(context);
    beast::error_code ec;
    acceptor.accept(stream.socket(), ec);
    if (ec) {
      accepts_took = steady_clock::now() - began;
      return ec == asio::error::would_block;
    }
    if (accepted + 1 == kMinAcceptsAtOnce) {
      longest_wait = std::max(longest_wait, QuietTime(stream));
    }
    Serve(std::move(stream));
  }
  accepts_took = steady_clock::now() - began;
  return true;
}

void http_server::state::AcceptAfterFailure() {
  beast::error_code ec;
  do {
    ++counters().accept_failures;
    if (!EvictIdle()) {
      SetBlocked(true);
      SleepFor(context, kBlockedRetryDelay);
    }
    tcp_stream stream(context);
    acceptor.accept(stream.socket(), ec);
    if (!ec) {
      Serve(std::move(stream));
    }
  } while (!stopping && ec && ec != asio::error::would_block);
}

void http_server::state::SetBlocked(bool now_blocked) {
  if (blocked != now_blocked) {
    blocked = now_blocked;
    counters().blocked += now_blocked ? 1 : -1;
  }
}

bool http_server::state::HasRoom() {
  return counters().open < MaxConnections() + evicting;
}

bool http_server::state::EvictIdle() {
  http_connection* longest = idle.Longest();
  if (longest == nullptr || !idle.Close(*longest, close_cause::kEvicted)) {
    return false;
  }
  ++evicting;
  ++counters().evicted;
  return true;
}

}  // namespace burdocklock::net
