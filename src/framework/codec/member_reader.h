// Reads and validates the members of JSON objects from external sources, and
// records the first problem with the path of the member.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdocklock {

/// A missing member yields the fallback. A missing member without a fallback,
/// or one of the wrong type, yields an unspecified value and records a problem.
class member_reader {
 public:
  /// `value` and `problem` must outlive the reader; all readers of a document
  /// share `problem`. `path` is the object's path, empty for the document.
  member_reader(const nlohmann::json& value,
                std::string path,
                std::string& problem);

  /// A non-empty string.
  std::string String(const char* key);
  std::string StringOr(const char* key, std::string fallback);
  std::uint64_t Unsigned(const char* key, std::uint64_t min, std::uint64_t max);
  std::uint64_t UnsignedOr(const char* key,
                           std::uint64_t fallback,
                           std::uint64_t min,
                           std::uint64_t max);
  /// A non-negative number.
  double Number(const char* key);
  double NumberOr(const char* key, double fallback);
  bool FlagOr(const char* key, bool fallback);
  /// The strings of an array; empty if the member is absent.
  std::vector<std::string> Strings(const char* key);
  /// Readers for the objects of an array; empty if the member is absent.
  std::vector<member_reader> Objects(const char* key);

  /// Returns the member, or nullptr if it is absent.
  const nlohmann::json* Find(const char* key);
  void Fail(std::string_view key, const char* what);
  /// Records a problem for a member that no call has looked up.
  void RejectOthers();

 private:
  const nlohmann::json& value_;
  std::string path_;
  std::string& problem_;
  std::set<std::string, std::less<>> looked_up_;
};

}  // namespace burdocklock
