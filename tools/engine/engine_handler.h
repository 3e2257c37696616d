// HTTP interface of the simulated engine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "engine/batch.h"
#include "engine/prefix_cache.h"
#include "framework/net/http_server.h"
#include "stand_in/fault_plan.h"
#include "stand_in/journal.h"

namespace burdocklock::engine {

class engine_handler : public net::i_http_handler {
 public:
  engine_handler(boost::asio::io_context& io,
                 batch& batch,
                 prefix_cache& cache,
                 stand_in::fault_plan& faults,
                 stand_in::journal& journal);

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override;
  void OnBadRequest(net::http_connection&, error_code) override {}

  /// Number of admitted generation requests in progress.
  [[nodiscard]] std::size_t active() const { return active_; }

 private:
  struct generation_request {
    std::string request_id;
    std::string prompt;
    /// First word of the last message; the generated text repeats it.
    std::string answer_word;
    std::uint32_t max_tokens = 16;
    bool streamed = false;
    bool chat = true;
  };

  static bool ParseGeneration(const net::http_request& request,
                              generation_request& out);
  net::keep_alive Generate(net::http_connection& connection,
                           const net::http_request& request);
  net::keep_alive StreamCompletion(net::http_connection& connection,
                                   const generation_request& generation,
                                   stand_in::fault fault,
                                   sequence& sequence);
  net::keep_alive SendCompletion(net::http_connection& connection,
                                 const generation_request& generation,
                                 stand_in::fault fault,
                                 sequence& sequence);
  bool AwaitToken(sequence& sequence, std::uint32_t count) const;
  net::keep_alive HandleStandIn(net::http_connection& connection,
                                const net::http_request& request);
  std::string Statistics() const;
  [[noreturn]] void ExitProcess() const;
  void HangUntilClosed(net::http_connection& connection) const;

  boost::asio::io_context& io_;
  batch& batch_;
  prefix_cache& cache_;
  stand_in::fault_plan& faults_;
  stand_in::journal& journal_;
  std::size_t active_ = 0;
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t computed_tokens_ = 0;
  std::uint64_t output_tokens_ = 0;
  std::uint64_t cancelled_ = 0;
  std::uint64_t started_ = 0;
};

}  // namespace burdocklock::engine
