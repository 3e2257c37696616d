// Reads the members of JSON objects that people or other programs have written,
// and keeps the first problem with the place where it was found.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdocklock {

/// Members that are missing or of another type than asked for give the
/// fallback, or a value without meaning if there is none; the problem says so.
class member_reader {
 public:
  /// `value` and `problem` must outlive the reader; all readers of a document
  /// share `problem`. `place` is the object's path, empty for the document.
  member_reader(const nlohmann::json& value,
                std::string place,
                std::string& problem);

  /// A string that is not empty.
  std::string String(const char* key);
  std::string StringOr(const char* key, std::string fallback);
  std::uint64_t Unsigned(const char* key, std::uint64_t min, std::uint64_t max);
  std::uint64_t UnsignedOr(const char* key,
                           std::uint64_t fallback,
                           std::uint64_t min,
                           std::uint64_t max);
  /// A number that is not negative.
  double Number(const char* key);
  double NumberOr(const char* key, double fallback);
  bool FlagOr(const char* key, bool fallback);
  /// Strings of a list; none if the member is absent.
  std::vector<std::string> Strings(const char* key);
  /// Readers for the objects of a list; none if the member is absent.
  std::vector<member_reader> Objects(const char* key);

  /// The member, or nullptr.
  const nlohmann::json* Find(const char* key);
  void Fail(std::string_view key, const char* what);
  /// Reports a member that was not asked for.
  void RejectOthers();

 private:
  const nlohmann::json& value_;
  std::string place_;
  std::string& problem_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace burdocklock
