// Options, calls and results of the load generator.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/time.h"

namespace burdocklock::load {

enum class call_type { kStream, kUnstreamed, kOrder, kCertificate };

/// Traffic of one customer.
struct customer_load {
  std::string name;
  std::string key;
  double rate_per_second = 1;
  /// Entry hosts to call in round-robin order, as indices into
  /// `load_options::hosts`.
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
  /// Fraction of calls of each type; the remaining calls are streams.
  double unstreamed_share = 0;
  double order_share = 0;
  double certificate_share = 0;
  /// Fraction of streams that the client closes halfway.
  double disconnect_share = 0;
  std::uint32_t seed = 1;
  /// If positive, each customer keeps this many calls in progress (closed loop)
  /// instead of starting calls at its rate (open loop).
  std::uint32_t concurrency = 0;
  duration call_timeout = std::chrono::seconds(60);
};

enum class call_outcome {
  /// A complete response to this request.
  kAnswered,
  /// An error status, usually with a problem document.
  kRefused,
  /// The stream ended with an error event or before its closing event.
  kCut,
  /// A response to another request.
  kWrongAnswer,
  /// No complete HTTP response.
  kNoAnswer,
  /// The client closed the stream deliberately.
  kDisconnected,
};

/// Result of one call from the client's point of view.
struct call_record {
  std::string customer;
  endpoint host;
  call_type type = call_type::kStream;
  call_outcome outcome = call_outcome::kNoAnswer;
  unsigned status = 0;
  std::string request_id;
  std::string refusal_id;
  std::string reason;
  std::string run;
  std::string order;
  duration first_token{};
  duration total{};
  /// Time from the start of the run to the end of the call.
  duration end_time{};
  std::uint32_t tokens = 0;
  /// Times between successive tokens.
  std::vector<duration> token_intervals;
};

}  // namespace burdocklock::load
