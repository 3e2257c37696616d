// See the header.
#include "app/internal/control_report.h"

#include <nlohmann/json.hpp>

#include "framework/codec/format_text.h"

namespace burdocklock::app {

using nlohmann::ordered_json;

std::string DescribeControlStatus(const config::settings& settings,
                                  const control::control_node& node) {
  const quorum::raft_node& raft = node.raft();
  return FormatText(ordered_json{{"daemon", settings.daemon.value()},
                                 {"data_centre", settings.data_centre.value()},
                                 {"role", ToString(raft.role())},
                                 {"term", raft.term().value()},
                                 {"leader", raft.leader().value()},
                                 {"commit", raft.commit().value()},
                                 {"version", node.state().contents().version},
                                 {"routers", node.router_count()},
                                 {"targets", node.registry().size()},
                                 {"stream_records", node.streams().size()}});
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
