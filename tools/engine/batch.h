// Continuous batching of a stand-in engine: every step yields one token for
// each running sequence, and takes longer the more sequences run.
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
  /// How much slower a cold engine steps.
  double cold_factor = 4;
  /// After a fall-over nothing is admitted for this time.
  duration recovery = std::chrono::seconds(1);
};

/// One request in the batch. Fibers wait on `changed`.
struct sequence {
  std::string request_name;
  /// Its prompt has been computed.
  bool decoding = false;
  std::uint32_t ready_tokens = 0;
  bool failed = false;
  fiber_event changed;
};

class batch {
 public:
  batch(boost::asio::io_context& io, batch_options options);

  /// Adds a sequence after `uncached_tokens` of prefill. A cold engine that
  /// holds more than `cold_slots` falls over: all its sequences fail.
  void Join(sequence& sequence, std::uint32_t uncached_tokens);
  void Leave(sequence& sequence);
  /// Becomes cold now.
  void TurnCold();

  [[nodiscard]] bool IsCold() const;
  [[nodiscard]] bool IsRecovering() const;
  [[nodiscard]] std::size_t running() const { return sequences_.size(); }
  [[nodiscard]] std::uint32_t falls() const { return falls_; }
  [[nodiscard]] std::size_t most_running() const { return most_running_; }
  /// Name of another running request; a made-up one if there is none.
  [[nodiscard]] std::string OtherRequest(const sequence& sequence) const;

 private:
  void StepLoop();
  void FallOver();

  boost::asio::io_context& io_;
  batch_options options_;
  time_point cold_until_;
  time_point recovering_until_{};
  std::unordered_set<sequence*> sequences_;
  bool stepping_ = false;
  std::uint32_t falls_ = 0;
  std::size_t most_running_ = 0;
};

}  // namespace burdocklock::engine
