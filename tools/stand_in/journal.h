// Journal file of the requests that a simulated target has started and the
// orders that it has executed. The file survives a crash of the target.
#pragma once

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace burdocklock::stand_in {

/// Appends one line for each started request and each executed order.
class journal {
 public:
  /// An empty `path` disables the journal.
  explicit journal(const std::string& path);

  void RecordRequest(const std::string& request_id);
  void RecordOrder(const std::string& key);

 private:
  std::ofstream out_;
};

/// Number of starts of each request and of executions of each order.
struct journal_counts {
  std::map<std::string, std::uint32_t> requests;
  std::map<std::string, std::uint32_t> orders;
};

/// Sums the journals of several targets; missing files count as empty.
journal_counts ReadJournals(const std::vector<std::string>& paths);

}  // namespace burdocklock::stand_in
