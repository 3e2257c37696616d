// Appends request and order entries to the journal file, and counts the entries
// of several journals.
#include "stand_in/journal.h"

namespace burdocklock::stand_in {

namespace {

constexpr char kRequest[] = "request";
constexpr char kOrder[] = "order";

}  // namespace

journal::journal(const std::string& path) {
  if (!path.empty()) {
    out_.open(path, std::ios::app);
  }
}

void journal::RecordRequest(const std::string& request_id) {
  // Flush every line, as the process may be killed at any time.
  out_ << kRequest << ' ' << request_id << std::endl;
}

void journal::RecordOrder(const std::string& key) {
  out_ << kOrder << ' ' << key << std::endl;
}

journal_counts ReadJournals(const std::vector<std::string>& paths) {
  journal_counts counts;
  for (const std::string& path : paths) {
    std::ifstream in(path);
    std::string kind;
    std::string name;
    while (in >> kind >> name) {
      ++(kind == kOrder ? counts.orders : counts.requests)[name];
    }
  }
  return counts;
}

}  // namespace burdocklock::stand_in
