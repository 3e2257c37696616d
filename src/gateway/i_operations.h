// Interface: status queries and commands for operators.
#pragma once

#include <string>

namespace burdocklock::gateway {

/// All members are called on the control thread.
class i_operations {
 public:
  virtual ~i_operations() = default;

  [[nodiscard]] virtual bool IsReady() const = 0;
  /// Metrics in the Prometheus text format.
  virtual std::string Metrics() = 0;
  /// JSON documents.
  virtual std::string StatusJson() = 0;
  virtual std::string TargetsJson() = 0;
  virtual std::string CustomersJson() = 0;
  virtual std::string MembersJson() = 0;
  /// Takes a data centre out of service, or returns it to service; false if it
  /// is not in the configuration sheet.
  virtual bool OrderDataCentre(const std::string& data_centre, bool out) = 0;
  /// Begins a graceful shutdown.
  virtual void Drain(const std::string& cause) = 0;
};

}  // namespace burdocklock::gateway
