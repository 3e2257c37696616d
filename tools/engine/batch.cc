// Step loop of the simulated batch, with slower steps while the engine is cold
// and failure of all sequences on overload.
#include "engine/batch.h"

#include <algorithm>
#include <chrono>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"

namespace burdocklock::engine {

using std::chrono::steady_clock;

batch::batch(boost::asio::io_context& io, batch_options options)
    : io_(io),
      options_(options),
      cold_until_(steady_clock::now() + options.cold_time) {}

void batch::Add(sequence& sequence, std::uint32_t uncached_tokens) {
  sequences_.insert(&sequence);
  most_running_ = std::max(most_running_, sequences_.size());
  if (IsCold() && sequences_.size() > options_.cold_slots) {
    FailAllSequences();
    return;
  }
  const double prefill_seconds = uncached_tokens / options_.prefill_rate;
  const double factor = IsCold() ? options_.cold_factor : 1.0;
  SleepFor(io_, std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(prefill_seconds * factor)));
  sequence.decoding = true;
  if (!stepping_) {
    stepping_ = true;
    SpawnFiber([this] { StepLoop(); });
  }
}

void batch::Remove(sequence& sequence) {
  sequences_.erase(&sequence);
}

void batch::StartColdPeriod() {
  cold_until_ = steady_clock::now() + options_.cold_time;
}

bool batch::IsCold() const {
  return steady_clock::now() < cold_until_;
}

bool batch::IsRecovering() const {
  return steady_clock::now() < recovering_until_;
}

std::string batch::OtherRequestId(const sequence& sequence) const {
  for (const auto* other : sequences_) {
    if (other != &sequence) {
      return other->request_id;
    }
  }
  return "another-0-1";
}

void batch::StepLoop() {
  while (!sequences_.empty()) {
    const double factor = IsCold() ? options_.cold_factor : 1.0;
    const duration step =
        options_.step + options_.step_per_sequence * sequences_.size();
    SleepFor(io_, std::chrono::duration_cast<duration>(step * factor));
    for (sequence* sequence : sequences_) {
      if (sequence->decoding) {
        ++sequence->ready_tokens;
        sequence->changed.Set();
      }
    }
  }
  stepping_ = false;
}

void batch::FailAllSequences() {
  ++overload_failures_;
  recovering_until_ = steady_clock::now() + options_.recovery;
  cold_until_ = recovering_until_ + options_.cold_time;
  for (sequence* sequence : sequences_) {
    sequence->failed = true;
    sequence->changed.Set();
  }
}

}  // namespace burdocklock::engine
