// Applies operator commands to the replicated state, and encodes commands and
// snapshots as CBOR.
#include "control/operator_state.h"

#include <exception>
#include <type_traits>

#include <boost/outcome/success_failure.hpp>
#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"
#include "framework/codec/whole_number.h"

namespace burdocklock::control {

using nlohmann::json;

namespace {

constexpr char kConfiguration[] = "configuration";
constexpr char kOutage[] = "outage";

error Malformed(const char* step, const std::exception& problem) {
  return {.code = error_code::kMalformed,
          .step = step,
          .peer = {},
          .detail = problem.what()};
}

operator_command DecodeCommand(const std::string& bytes) {
  const json j = ParseCbor(bytes);
  const auto& kind = j.at(0).get_ref<const std::string&>();
  if (kind == kConfiguration) {
    return set_configuration{.version = ReadWhole<std::uint64_t>(j.at(1)),
                             .document = j.at(2).get<std::string>()};
  }
  if (kind == kOutage) {
    return set_outage{.data_centre = j.at(1).get<data_centre_id>(),
                      .out = j.at(2).get<bool>()};
  }
  throw std::out_of_range("unknown command kind");
}

bool ApplyChange(const set_configuration& command, state_contents& contents) {
  if (command.version <= contents.version) {
    return false;
  }
  contents.version = command.version;
  contents.document = command.document;
  return true;
}

bool ApplyChange(const set_outage& command, state_contents& contents) {
  return command.out ? contents.out.insert(command.data_centre).second
                     : contents.out.erase(command.data_centre) > 0;
}

}  // namespace

std::string EncodeCommand(const operator_command& command) {
  const auto encode = [](const auto& value) -> json {
    using command_type = std::decay_t<decltype(value)>;
    if constexpr (std::is_same_v<command_type, set_configuration>) {
      return json::array({kConfiguration, value.version, value.document});
    } else {
      return json::array({kOutage, value.data_centre, value.out});
    }
  };
  std::string bytes;
  json::to_cbor(std::visit(encode, command), bytes);
  return bytes;
}

result<void> operator_state::Apply(state_revision position,
                                   const std::string& command) {
  try {
    const bool changed = std::visit(
        [this](const auto& value) { return ApplyChange(value, contents_); },
        DecodeCommand(command));
    if (changed) {
      revision_ = position;
    }
  } catch (const std::exception& problem) {
    return Malformed("apply command", problem);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string operator_state::Encode() const {
  std::string bytes;
  json::to_cbor(json::array({revision_, contents_.version, contents_.document,
                             contents_.out}),
                bytes);
  return bytes;
}

result<void> operator_state::Restore(const std::string& encoded) {
  try {
    const json j = ParseCbor(encoded);
    state_contents contents;
    ReadElement(j, 1, contents.version);
    ReadElement(j, 2, contents.document);
    ReadElement(j, 3, contents.out);
    revision_ = j.at(0).get<state_revision>();
    contents_ = std::move(contents);
  } catch (const std::exception& problem) {
    return Malformed("restore state", problem);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace burdocklock::control
