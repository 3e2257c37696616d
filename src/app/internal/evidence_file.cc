// See the header.
#include "app/internal/evidence_file.h"

#include <cstdint>
#include <ctime>
#include <fstream>
#include <optional>
#include <utility>

#include "control/stored_evidence.h"

namespace burdocklock::app {

namespace {

constexpr char kFileName[] = "evidence";
constexpr char kBootIdFile[] = "/proc/sys/kernel/random/boot_id";
constexpr std::uint64_t kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kNanosecondsPerMillisecond = 1'000'000;

std::uint64_t ReadMilliseconds(clockid_t clock) {
  timespec time{};
  ::clock_gettime(clock, &time);
  return static_cast<std::uint64_t>(time.tv_sec) * kMillisecondsPerSecond +
         static_cast<std::uint64_t>(time.tv_nsec) / kNanosecondsPerMillisecond;
}

control::clock_reading ReadClocks() {
  control::clock_reading reading{
      .wall_ms = ReadMilliseconds(CLOCK_REALTIME),
      .running_ms = ReadMilliseconds(CLOCK_BOOTTIME)};
  std::ifstream(kBootIdFile) >> reading.boot;
  return reading;
}

}  // namespace

evidence_file::evidence_file(const std::string& folder, i_logger& logger)
    : logger_(logger),
      file_(folder, kFileName),
      writer_(file_, [&logger](const result<void>& written) {
        logger.Log(written
                       ? log_record("evidence_stored_again")
                       : log_record("evidence_not_stored", log_level::kWarning)
                             .Add("detail", written.error().Message()));
      }) {}

crashes::evidence evidence_file::Load() const {
  const auto stored = file_.Read(control::kMaxStoredEvidenceBytes);
  if (stored && !stored.value()) {
    return {};
  }
  dropped_entries dropped;
  const auto known =
      stored ? control::DecodeStored(*stored.value(), ReadClocks(), dropped)
             : result<crashes::evidence>(stored.error());
  if (!known) {
    logger_.Log(log_record("evidence_unreadable", log_level::kWarning)
                    .Add("detail", known.error().Message()));
    return {};
  }
  logger_.Log(log_record("evidence_read")
                  .Add("ends", known.value().ends.size())
                  .Add("blocked", known.value().blocked.size())
                  .Add("dropped", dropped.count)
                  .Add("problem", dropped.problem));
  return known.value();
}

void evidence_file::Store(crashes::evidence known) {
  writer_.Submit([known = std::move(known), taken = ReadClocks()] {
    return control::EncodeStored(known, taken);
  });
}

}  // namespace burdocklock::app
