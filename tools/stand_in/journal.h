// What a stand-in has run, in a file that outlives it.
#pragma once

#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace burdocklock::stand_in {

/// Appends one line for each request begun and each order run.
class journal {
 public:
  /// Writes nothing if `path` is empty.
  explicit journal(const std::string& path);

  void RequestBegun(const std::string& request_name);
  void OrderRun(const std::string& key);

 private:
  std::ofstream out_;
};

/// How often each request was begun and each order was run.
struct journal_counts {
  std::map<std::string, std::uint32_t> requests;
  std::map<std::string, std::uint32_t> orders;
};

/// Adds up the journals of several stand-ins; missing files count as empty.
journal_counts ReadJournals(const std::vector<std::string>& paths);

}  // namespace burdocklock::stand_in
