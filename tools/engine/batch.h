// Continuous batching of a simulated engine: each step yields one token for
// every running sequence, and the step time grows with their number.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

#include <boost/asio/io_context.hpp>

#include "framework/fiber/use_fiber.h"
#include "framework/types/time.h"

namespace burdocklock::engine {

struct batch_options {
  duration step = std::chrono::milliseconds(10);
  /// Added to a step for each running sequence.
  duration step_per_sequence = std::chrono::microseconds(100);
  /// Uncached prompt tokens per second.
  double prefill_rate = 20000;
  std::uint32_t cold_slots = 2;
  duration cold_time = std::chrono::seconds(5);
  /// Factor by which prefill and steps are slower while the engine is cold.
  double cold_factor = 4;
  /// Time after an overload failure during which no request is admitted.
  duration recovery = std::chrono::seconds(1);
};

/// One request in the batch. `changed` is set when `ready_tokens` or `failed`
/// changes.
struct sequence {
  std::string request_id;
  /// Whether prefill has finished.
  bool decoding = false;
  std::uint32_t ready_tokens = 0;
  bool failed = false;
  fiber_event changed;
};

class batch {
 public:
  batch(boost::asio::io_context& io, batch_options options);

  /// Adds a sequence and blocks the calling fiber for the prefill of
  /// `uncached_tokens`. More than `cold_slots` sequences overload a cold
  /// engine: all its sequences fail.
  void Add(sequence& sequence, std::uint32_t uncached_tokens);
  void Remove(sequence& sequence);
  void StartColdPeriod();

  [[nodiscard]] bool IsCold() const;
  [[nodiscard]] bool IsRecovering() const;
  [[nodiscard]] std::size_t running() const { return sequences_.size(); }
  [[nodiscard]] std::uint32_t overload_failures() const {
    return overload_failures_;
  }
  [[nodiscard]] std::size_t most_running() const { return most_running_; }
  /// ID of another running request, or a fixed unknown ID if there is none.
  [[nodiscard]] std::string OtherRequestId(const sequence& sequence) const;

 private:
  void StepLoop();
  void FailAllSequences();

  boost::asio::io_context& io_;
  batch_options options_;
  time_point cold_until_;
  time_point recovering_until_{};
  std::unordered_set<sequence*> sequences_;
  bool stepping_ = false;
  std::uint32_t overload_failures_ = 0;
  std::size_t most_running_ = 0;
};

}  // namespace burdocklock::engine
