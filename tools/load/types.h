// What the load tool sends and sees.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/time.h"

namespace burdocklock::load {

enum class call_type { kStream, kWhole, kOrder, kCertificate };

/// One customer's traffic.
struct customer_load {
  std::string name;
  std::string key;
  double rate_per_second = 1;
  /// Entry hosts that it calls, in turn; indices into the list of hosts.
  std::vector<std::size_t> hosts;
};

struct load_options {
  std::vector<endpoint> hosts;
  std::vector<customer_load> customers;
  std::string model = "model";
  std::string service = "service";
  duration length = std::chrono::seconds(10);
  std::uint32_t max_tokens = 16;
  std::uint32_t prompt_bytes = 64;
  /// Share of calls of each type; the rest are streams.
  double whole_share = 0;
  double order_share = 0;
  double certificate_share = 0;
  /// Share of streams that the caller leaves in the middle.
  double leave_share = 0;
  std::uint32_t seed = 1;
  /// If positive, each customer keeps this many calls running (closed loop)
  /// instead of starting them at its rate (open loop).
  std::uint32_t concurrency = 0;
  duration call_timeout = std::chrono::seconds(60);
};

enum class seen_outcome {
  /// The whole answer to the caller's own request.
  kAnswered,
  /// A problem document.
  kRefused,
  /// The stream ended with an error event or before its closing event.
  kCut,
  /// An answer that was not to this request.
  kWrongAnswer,
  /// No HTTP answer.
  kNoAnswer,
  /// The caller left on purpose.
  kLeft,
};

/// What one caller saw.
struct call_record {
  std::string customer;
  endpoint host;
  call_type type = call_type::kStream;
  seen_outcome outcome = seen_outcome::kNoAnswer;
  unsigned status = 0;
  std::string request_name;
  std::string refusal_name;
  std::string reason;
  std::string run;
  std::string order;
  duration first_token{};
  duration total{};
  /// Time of the end since the run began.
  duration ended{};
  std::uint32_t tokens = 0;
  std::vector<duration> gaps;
};

}  // namespace burdocklock::load
