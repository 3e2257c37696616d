// See the header.
#include "app/internal/control_report.h"

#include <chrono>

#include <nlohmann/json.hpp>

#include "app/internal/leadership_report.h"
#include "framework/codec/format_text.h"

namespace burdocklock::app {

using nlohmann::ordered_json;

std::string DescribeControlStatus(const config::settings& settings,
                                  const control::control_node& node) {
  ordered_json status{{"daemon", settings.daemon.value()},
                      {"data_centre", settings.data_centre.value()}};
  AddLeadership(node.Leadership(std::chrono::steady_clock::now()), status);
  status["commit"] = node.raft().commit().value();
  status["version"] = node.state().contents().version;
  status["routers"] = node.router_count();
  status["targets"] = node.registry().size();
  status["stream_records"] = node.streams().size();
  return FormatText(status);
}

std::string DescribeRegisteredTargets(const control::control_node& node) {
  ordered_json list = ordered_json::array();
  for (const control::registry_entry& entry : node.registry().All()) {
    list.push_back({{"target", entry.announced.target.value()},
                    {"incarnation", entry.announced.life.value()},
                    {"data_centre", entry.announced.data_centre.value()},
                    {"address", ToString(entry.announced.address)},
                    {"state", ToString(entry.announced.state)},
                    {"slots", entry.announced.slots}});
  }
  return FormatText(ordered_json{{"targets", list}});
}

std::string DescribeLogMembers(const control::control_node& node) {
  ordered_json list = ordered_json::array();
  for (const quorum::member& member : node.raft().members()) {
    list.push_back({{"member", member.id.value()},
                    {"links", ToString(member.peer_endpoint)},
                    {"voter", member.voter}});
  }
  return FormatText(ordered_json{{"members", list}});
}

}  // namespace burdocklock::app
