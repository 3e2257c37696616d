// See the header.
#include "admission/caller_intake.h"

#include <algorithm>

namespace burdocklock::admission {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Of a process without callers, before it is measured.
constexpr std::size_t kUsualBaseBytes = std::size_t{20} * 1024 * 1024;
// A connection's stack and its place in the server; a call's request, that of
// its attempt, and the connection to a target, each with its buffers.
constexpr std::size_t kConnectionBytes = std::size_t{20} * 1024;
constexpr std::size_t kCallBytes = std::size_t{80} * 1024;
// Part of the usable memory that connections without a call may take.
constexpr double kConnectionsMemoryPart = 0.6;
// Listeners, links, logs and files.
constexpr std::uint32_t kOwnDescriptors = 256;
// Part of the other descriptors for callers: a call needs a second one, and a
// target keeps some connections that wait.
constexpr double kCallersDescriptorsPart = 0.6;
constexpr std::uint32_t kLeastConnections = 16;

constexpr milliseconds kWindow{100};
// Weight of a window in the utilisation, for a mean over two windows.
constexpr double kWindowWeight = 0.4;

// Utilisations, as parts of the time.
constexpr double kCalmUtilisation = 0.5;
// Below it calls find room whatever one is thought to need.
constexpr double kBusyUtilisation = 0.7;
// New callers arrive for two seconds after the router has left the rotation, so
// it leaves while they can still be served.
constexpr double kCrowdedUtilisation = 0.8;
// Refusals are late above it, as bursts find no time left.
constexpr double kDelayingUtilisation = 0.93;

// Part of the processor for calls while the loop is busy, as one call is
// thought to need: lowered while callers wait for their refusals, raised while
// time is left at the limit. Never below what they have while it is not busy.
constexpr double kUsualForCalls = 0.85;
constexpr double kLeastForCalls = kBusyUtilisation;
// More than all of it: what one call needs is learned while few are here, each
// with turns of its own, and may be several times what one of many needs.
constexpr double kMostForCalls = 4;
// Factors in one `kUsePeriod`.
constexpr double kForCallsDecrease = 0.93;
constexpr double kForCallsIncrease = 1.03;
// Part of the limit on calls from which it is what holds them back.
constexpr double kAtLimitPart = 0.9;
// Longest mean turn that an interactive caller does not notice.
constexpr milliseconds kDelayingTurn{80};
// A caller that is refused should know within 40 ms, in which it meets the rest
// of one turn and a part of the next.
constexpr milliseconds kTurnForRefusals{20};

constexpr double kUnlimitedCalls = 1'000'000;
// However much one seems to need.
constexpr double kLeastCalls = 8;
// With fewer in progress, the loop's other work shows instead of theirs.
constexpr std::uint32_t kFewCalls = 4;
// Weight of one `kUsePeriod` in the load of a call and of the rest.
constexpr double kLearningWeight = 0.05;
// Utilisation by calls that is told from none.
constexpr double kLeastLoad = 0.01;

// Demand over the mean of all routers from which this one leaves, and below
// which it returns.
constexpr double kLeavingDemand = 3;
constexpr double kReturningDemand = 2;
// Parts of the memory or connections for callers.
constexpr double kCrowdedFullness = 0.75;
constexpr double kCalmFullness = 0.5;
// A caller that has waited so long to be accepted may be leaving.
constexpr milliseconds kLongWait{500};
// A single burst is served sooner than the balancer notices.
constexpr milliseconds kCrowdedTime{200};
constexpr seconds kCalmTime{1};
// The balancer asks once a second and believes the second answer.
constexpr seconds kBalancerDelay{2};
// Routers that left together return within this time of each other.
constexpr milliseconds kMaxReturnJitter{1000};
constexpr std::uint64_t kJitterSteps = 16;
// Time out of rotation if the mean is not known: a tenth of all, and so much of
// it at once.
constexpr int kTimeInPerOut = 10;
constexpr seconds kMaxOut{6};
// One check more than the balancer needs, so that its callers have gone.
constexpr seconds kLeastOut = kBalancerDelay + seconds(1);

std::size_t Part(std::size_t whole, double part) {
  return static_cast<std::size_t>(static_cast<double>(whole) * part);
}

}  // namespace

caller_intake::caller_intake(const router_means& means, std::uint64_t phase)
    : means_(means),
      return_jitter_(kMaxReturnJitter * (phase % kJitterSteps) / kJitterSteps),
      max_connections_(means.max_connections),
      base_bytes_(kUsualBaseBytes),
      for_calls_(kUsualForCalls),
      out_allowance_(kMaxOut) {
  UpdateMaxConnections();
}

void caller_intake::OnTurn(duration busy, time_point now) {
  busy_ += busy;
  squared_turns_ += ToSeconds(busy) * ToSeconds(busy);
  if (window_started_ == time_point{}) {
    window_started_ = now - busy;
  }
  const duration lasted = now - window_started_;
  if (lasted < kWindow) {
    return;
  }
  const double busy_part = ToSeconds(busy_) / ToSeconds(lasted);
  utilisation_ += kWindowWeight * (busy_part - utilisation_);
  // The longer turns are met more often.
  met_turn_ =
      busy_ > duration::zero()
          ? std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                squared_turns_ / ToSeconds(busy_)))
          : duration::zero();
  window_started_ = now;
  busy_ = {};
  squared_turns_ = 0;
}

void caller_intake::OnCallerWait(duration wait) {
  longest_wait_ = std::max(longest_wait_, wait);
}

std::size_t caller_intake::MemoryOf(const router_use& use) const {
  return base_bytes_ + use.connections * kConnectionBytes +
         calls_ * kCallBytes + use.held_bytes;
}

bool caller_intake::HasRoomForCall(const customer_id& customer,
                                   const router_use& use) const {
  if (!means_.limited()) {
    return true;
  }
  const double by_memory = MaxCallsByMemory(use);
  const double by_processor = MaxCallsByProcessor(use);
  const std::uint32_t calls = calls_ + use.unread_calls;
  if (calls + 1 > by_memory) {
    return false;
  }
  if (calls < by_processor) {
    return true;
  }
  const auto own = calls_of_.find(customer);
  const double customers =
      static_cast<double>(calls_of_.size() + (own == calls_of_.end() ? 1 : 0));
  return (own == calls_of_.end() ? 0 : own->second) < by_processor / customers;
}

void caller_intake::OnCallBegan(const customer_id& customer) {
  ++calls_;
  ++calls_of_[customer];
}

void caller_intake::OnCallEnded(const customer_id& customer) {
  --calls_;
  const auto own = calls_of_.find(customer);
  if (--own->second == 0) {
    calls_of_.erase(own);
  }
}

std::uint32_t caller_intake::MaxCalls(const router_use& use) const {
  return static_cast<std::uint32_t>(
      std::min(MaxCallsByMemory(use), MaxCallsByProcessor(use)));
}

double caller_intake::MaxCallsByMemory(const router_use& use) const {
  if (means_.memory_bytes == 0) {
    return kUnlimitedCalls;
  }
  const double usable =
      kUsableMemory * static_cast<double>(means_.memory_bytes);
  const double room = usable - static_cast<double>(MemoryOf(use));
  return std::max(0.0, calls_ + room / kCallBytes);
}

bool caller_intake::IsBusy() const {
  return means_.limited() && (utilisation_ > kBusyUtilisation || out_since_);
}

bool caller_intake::TurnsAway(const router_use& use) const {
  return means_.limited() && calls_ + use.unread_calls >= MaxCalls(use);
}

double caller_intake::MaxCallsByProcessor(const router_use& use) const {
  if (!IsBusy()) {
    return kUnlimitedCalls;
  }
  const double limit =
      call_load_ > 0 ? for_calls_ / call_load_ : kUnlimitedCalls;
  // What else begins in a long turn delays all that waits for its end.
  const double in_turn = use.turn > kTurnForRefusals
                             ? static_cast<double>(calls_)
                             : kUnlimitedCalls;
  return std::max(kLeastCalls, std::min(limit, in_turn));
}

double caller_intake::Fullness(const router_use& use) const {
  double fullness = static_cast<double>(use.connections) /
                    static_cast<double>(max_connections_);
  if (means_.memory_bytes > 0) {
    const std::size_t usable = Part(means_.memory_bytes, kUsableMemory);
    const std::size_t used = MemoryOf(use);
    const std::size_t for_callers =
        usable > base_bytes_ ? usable - base_bytes_ : 1;
    fullness = std::max(fullness, static_cast<double>(used - base_bytes_) /
                                      static_cast<double>(for_callers));
  }
  return fullness;
}

void caller_intake::UpdateMaxConnections() {
  max_connections_ = means_.max_connections;
  if (means_.memory_bytes > 0) {
    const std::size_t usable = Part(means_.memory_bytes, kUsableMemory);
    const std::size_t for_callers =
        usable > base_bytes_ ? usable - base_bytes_ : 0;
    max_connections_ = std::min<std::uint32_t>(
        max_connections_,
        static_cast<std::uint32_t>(Part(for_callers, kConnectionsMemoryPart) /
                                   kConnectionBytes));
  }
  if (means_.descriptors > kOwnDescriptors) {
    max_connections_ = std::min<std::uint32_t>(
        max_connections_,
        static_cast<std::uint32_t>(Part(means_.descriptors - kOwnDescriptors,
                                        kCallersDescriptorsPart)));
  }
  max_connections_ = std::max(max_connections_, kLeastConnections);
}

void caller_intake::OnUse(const router_use& use, time_point now) {
  if (!means_.limited()) {
    return;
  }
  if (use.memory_bytes > 0) {
    const std::size_t of_callers = MemoryOf(use) - base_bytes_;
    base_bytes_ = use.memory_bytes - std::min(use.memory_bytes, of_callers);
    UpdateMaxConnections();
  }
  LearnCallLoad();
  UpdatePartForCalls();
  UpdateAllowance(now);
  const double fullness = Fullness(use);
  const auto since = [now](bool holds, std::optional<time_point> before) {
    return holds ? before.value_or(now) : std::optional<time_point>();
  };
  crowded_since_ =
      since(utilisation_ > kCrowdedUtilisation || fullness > kCrowdedFullness,
            crowded_since_);
  calm_since_ = since(utilisation_ < kCalmUtilisation &&
                          fullness < kCalmFullness && longest_wait_ < kLongWait,
                      calm_since_);
  UpdateRotation(use, now);
  longest_wait_ = {};
}

void caller_intake::LearnCallLoad() {
  // A loop without pause does not show what more calls would need, nor does one
  // that refuses.
  if (crowded_since_ || out_since_ || utilisation_ > kCalmUtilisation) {
    return;
  }
  if (calls_ < kFewCalls) {
    idle_load_ += kLearningWeight * (utilisation_ - idle_load_);
    return;
  }
  const double load = std::max(utilisation_ - idle_load_, kLeastLoad) / calls_;
  call_load_ = call_load_ == 0
                   ? load
                   : call_load_ + kLearningWeight * (load - call_load_);
}

void caller_intake::UpdatePartForCalls() {
  if (!IsBusy()) {
    for_calls_ = kUsualForCalls;
  } else if (utilisation_ > kDelayingUtilisation || met_turn_ > kDelayingTurn) {
    for_calls_ = std::max(for_calls_ * kForCallsDecrease, kLeastForCalls);
  } else if (calls_ >= kAtLimitPart * MaxCallsByProcessor({})) {
    for_calls_ = std::min(for_calls_ * kForCallsIncrease, kMostForCalls);
  }
}

void caller_intake::UpdateAllowance(time_point now) {
  const duration passed =
      updated_ == time_point{} ? duration::zero() : now - updated_;
  updated_ = now;
  out_allowance_ = out_since_
                       ? std::max(out_allowance_ - passed, duration::zero())
                       : std::min<duration>(
                             out_allowance_ + passed / kTimeInPerOut, kMaxOut);
}

void caller_intake::UpdateRotation(const router_use& use, time_point now) {
  const bool stands_out = use.demand_over_mean
                              ? *use.demand_over_mean >= kLeavingDemand
                              : out_allowance_ >= kLeastOut;
  if (!out_since_) {
    if (longest_wait_ >= kLongWait ||
        (crowded_since_ && now - *crowded_since_ >= kCrowdedTime &&
         stands_out)) {
      out_since_ = now;
      to_move_ = 0;
    }
    return;
  }
  const bool calm = calm_since_ && now - *out_since_ >= kLeastOut &&
                    now - *calm_since_ >= kCalmTime + return_jitter_;
  const bool is_due = use.demand_over_mean
                          ? *use.demand_over_mean < kReturningDemand
                          : out_allowance_ == duration::zero();
  if (calm ||
      (is_due && now - *out_since_ >= kLeastOut && longest_wait_ < kLongWait)) {
    out_since_.reset();
  }
}

bool caller_intake::MovesRefused(time_point now) const {
  return out_since_ && now - *out_since_ >= kBalancerDelay;
}

bool caller_intake::MovesCaller(time_point now) {
  if (!MovesRefused(now) || utilisation_ <= kBusyUtilisation) {
    return false;
  }
  // What is above its means: those who stay are served here.
  to_move_ += 1 - kBusyUtilisation / utilisation_;
  if (to_move_ < 1) {
    return false;
  }
  to_move_ -= 1;
  ++moved_;
  return true;
}

}  // namespace burdocklock::admission
