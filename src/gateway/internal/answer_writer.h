// Writes the one answer of a request to its caller.
#pragma once

#include <string>
#include <string_view>

#include "framework/net/http_client.h"
#include "framework/net/http_server.h"
#include "refusals/types/refusal.h"

namespace burdocklock::gateway {

/// Invariant: at most one of a whole answer, a stream and a problem document
/// is begun. After a failed write or a cut the connection must be closed.
class answer_writer {
 public:
  answer_writer(net::http_connection& connection,
                const net::http_request& request,
                std::string request_name,
                bool keep_alive);

  bool WriteWhole(const net::http_response_head& head, std::string body);
  bool BeginStream();
  bool WriteEvents(std::string_view events);
  bool EndStream();
  bool WriteProblem(const refusals::refusal& refusal,
                    const std::string& refusal_name);
  /// Ends a stream with an error event, so that it cannot be taken for whole.
  bool WriteCut(const refusals::refusal& refusal,
                const std::string& refusal_name);

  /// Some byte was passed on to the caller.
  [[nodiscard]] bool started() const { return started_; }
  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] net::keep_alive keep_alive() const;

 private:
  bool Write(net::http_response& response);
  bool Check(bool ok);

  net::http_connection& connection_;
  unsigned version_;
  std::string request_name_;
  bool keep_alive_;
  bool started_ = false;
  bool failed_ = false;
};

}  // namespace burdocklock::gateway
