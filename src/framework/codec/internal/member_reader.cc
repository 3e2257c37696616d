// Type and range checks for the members of JSON objects. Only the first problem
// is recorded, with its path.
#include "framework/codec/member_reader.h"

#include <utility>

namespace burdocklock {

using nlohmann::json;

member_reader::member_reader(const json& value,
                             std::string path,
                             std::string& problem)
    : value_(value), path_(std::move(path)), problem_(problem) {
  if (!value_.is_object()) {
    Fail("", "must be an object");
  }
}

std::string member_reader::String(const char* key) {
  const json* member = Find(key);
  if (member == nullptr || !member->is_string() ||
      member->get_ref<const std::string&>().empty()) {
    Fail(key, "must be a string that is not empty");
    return {};
  }
  return member->get<std::string>();
}

std::string member_reader::StringOr(const char* key, std::string fallback) {
  return Find(key) == nullptr ? std::move(fallback) : String(key);
}

std::uint64_t member_reader::Unsigned(const char* key,
                                      std::uint64_t min,
                                      std::uint64_t max) {
  const json* member = Find(key);
  if (member == nullptr || !member->is_number_unsigned()) {
    Fail(key, "must be an integer that is not negative");
    return min;
  }
  const auto value = member->get<std::uint64_t>();
  if (value < min || value > max) {
    Fail(key, "is out of range");
    return min;
  }
  return value;
}

std::uint64_t member_reader::UnsignedOr(const char* key,
                                        std::uint64_t fallback,
                                        std::uint64_t min,
                                        std::uint64_t max) {
  return Find(key) == nullptr ? fallback : Unsigned(key, min, max);
}

double member_reader::Number(const char* key) {
  const json* member = Find(key);
  if (member == nullptr || !member->is_number() || member->get<double>() < 0) {
    Fail(key, "must be a number that is not negative");
    return 0;
  }
  return member->get<double>();
}

double member_reader::NumberOr(const char* key, double fallback) {
  return Find(key) == nullptr ? fallback : Number(key);
}

bool member_reader::FlagOr(const char* key, bool fallback) {
  const json* member = Find(key);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_boolean()) {
    Fail(key, "must be true or false");
    return fallback;
  }
  return member->get<bool>();
}

std::vector<std::string> member_reader::Strings(const char* key) {
  std::vector<std::string> strings;
  const json* member = Find(key);
  if (member == nullptr) {
    return strings;
  }
  if (!member->is_array()) {
    Fail(key, "must be a list of strings");
    return strings;
  }
  for (const json& element : *member) {
    if (!element.is_string()) {
      Fail(key, "must hold strings only");
      return strings;
    }
    strings.push_back(element.get<std::string>());
  }
  return strings;
}

std::vector<member_reader> member_reader::Objects(const char* key) {
  std::vector<member_reader> readers;
  const json* member = Find(key);
  if (member == nullptr) {
    return readers;
  }
  if (!member->is_array()) {
    Fail(key, "must be a list of objects");
    return readers;
  }
  const std::string list = path_.empty() ? key : path_ + "." + key;
  for (std::size_t i = 0; i < member->size(); ++i) {
    readers.emplace_back((*member)[i], list + "[" + std::to_string(i) + "]",
                         problem_);
  }
  return readers;
}

const json* member_reader::Find(const char* key) {
  looked_up_.insert(key);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto found = value_.find(key);
  return found == value_.end() ? nullptr : &*found;
}

void member_reader::Fail(std::string_view key, const char* what) {
  if (!problem_.empty()) {
    return;
  }
  problem_ = path_;
  if (!path_.empty() && !key.empty()) {
    problem_ += '.';
  }
  problem_ += key;
  problem_ += problem_.empty() ? "the document " : ": ";
  problem_ += what;
}

void member_reader::RejectOthers() {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [key, member] : value_.items()) {
    if (!looked_up_.contains(key)) {
      Fail(key, "is not known");
    }
  }
}

}  // namespace burdocklock
