// See the header.
#include "app/internal/control_log.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace burdocklock::app {

namespace {

// Ids of first voters have no random part, so that all hosts build the same
// list from the same addresses.
constexpr char kFirstLife[] = "#first";

quorum::member_id FirstId(const endpoint& links) {
  return quorum::member_id(ToString(links) + kFirstLife);
}

// The state of a host that has no log: one of the first voters, or a stranger
// that others must let in.
quorum::durable_state NewState(const config::settings& settings,
                               std::uint32_t random) {
  const endpoint& own = settings.peer_listener;
  const auto& hosts = settings.control.hosts;
  quorum::durable_state fresh;
  const bool is_first =
      std::find(hosts.begin(), hosts.end(), own) != hosts.end();
  if (!settings.control.first_start || !is_first) {
    fresh.self =
        quorum::member_id(ToString(own) + "#" + std::to_string(random));
    return fresh;
  }
  fresh.self = FirstId(own);
  fresh.base.last_index = quorum::log_index(1);
  fresh.base.last_term = quorum::term_number(1);
  fresh.term = quorum::term_number(1);
  std::vector<endpoint> sorted = hosts;
  std::sort(sorted.begin(), sorted.end());
  for (const endpoint& host : sorted) {
    fresh.base.members.push_back(
        {.id = FirstId(host),
         .peer_endpoint = host,
         .command_endpoint = {.address = host.address,
                              .port = settings.commands.port},
         .voter = true});
  }
  return fresh;
}

}  // namespace

result<control_log> OpenControlLog(const config::settings& settings,
                                   std::uint32_t random,
                                   i_logger& logger) {
  control_log log;
  log.file = std::make_unique<storage::log_file>(settings.data_folder);
  auto opened = log.file->Open();
  if (!opened && opened.error().code == error_code::kMalformed) {
    // What is damaged must not be believed: this host starts as a new one.
    logger.Log(log_record("log_damaged", log_level::kError)
                   .Add("detail", opened.error().Message()));
    if (auto aside = log.file->RenameDamaged(); !aside) {
      return aside.error();
    }
    opened = std::optional<quorum::durable_state>();
  }
  if (!opened) {
    return opened.error();
  }
  const bool is_new = !opened.value().has_value();
  log.state = is_new ? NewState(settings, random) : *opened.value();
  logger.Log(log_record("log_opened")
                 .Add("member", log.state.self.value())
                 .Add("new", is_new)
                 .Add("term", log.state.term.value())
                 .Add("base", log.state.base.last_index.value())
                 .Add("entries", log.state.entries.size()));
  if (is_new) {
    // Nothing is said before this host knows on disk who it is.
    const auto written = log.file->Write({quorum::rewrite_record{log.state}});
    if (!written) {
      return written.error();
    }
  }
  return log;
}

}  // namespace burdocklock::app
