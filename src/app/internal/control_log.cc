// See the header.
#include "app/internal/control_log.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace burdocklock::app {

namespace {

// Ids of the initial voters have no random part, so that all hosts derive the
// same member list from the same addresses.
constexpr char kInitialVoterSuffix[] = "#first";
constexpr std::chrono::milliseconds kFullDiskRetryDelay{100};

quorum::member_id InitialVoterId(const endpoint& links) {
  return quorum::member_id(ToString(links) + kInitialVoterSuffix);
}

// The state of a host without a log: either one of the initial voters, or a new
// member that the existing members must add.
quorum::durable_state NewState(const config::settings& settings,
                               std::uint32_t random) {
  const endpoint& own = settings.peer_listener;
  const auto& hosts = settings.control.hosts;
  quorum::durable_state state;
  const bool is_initial_voter =
      std::find(hosts.begin(), hosts.end(), own) != hosts.end();
  if (!settings.control.first_start || !is_initial_voter) {
    state.self =
        quorum::member_id(ToString(own) + "#" + std::to_string(random));
    return state;
  }
  state.self = InitialVoterId(own);
  state.base.last_index = quorum::log_index(1);
  state.base.last_term = quorum::term_number(1);
  state.term = quorum::term_number(1);
  std::vector<endpoint> sorted = hosts;
  std::sort(sorted.begin(), sorted.end());
  for (const endpoint& host : sorted) {
    state.base.members.push_back(
        {.id = InitialVoterId(host),
         .peer_endpoint = host,
         .command_endpoint = {.address = host.address,
                              .port = settings.commands.port},
         .voter = true});
  }
  return state;
}

result<control_log> TryOpen(const config::settings& settings,
                            std::uint32_t random,
                            i_logger& logger) {
  control_log log;
  log.file = std::make_unique<storage::log_file>(settings.data_folder);
  auto opened = log.file->Open();
  if (!opened && opened.error().code == error_code::kMalformed) {
    // A damaged log cannot be trusted, so this host starts as a new member.
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
  if (is_new) {
    // The identity must be durable before this host sends any message.
    const auto written = log.file->Write({quorum::rewrite_record{log.state}});
    if (!written) {
      return written.error();
    }
  }
  logger.Log(log_record("log_opened")
                 .Add("member", log.state.self.value())
                 .Add("new", is_new)
                 .Add("term", log.state.term.value())
                 .Add("base", log.state.base.last_index.value())
                 .Add("entries", log.state.entries.size()));
  return log;
}

}  // namespace

result<control_log> OpenControlLog(const config::settings& settings,
                                   std::uint32_t random,
                                   i_logger& logger) {
  bool is_full = false;
  while (true) {
    result<control_log> log = TryOpen(settings, random, logger);
    const bool was_full = std::exchange(
        is_full, !log && log.error().code == error_code::kDiskFull);
    if (is_full && !was_full) {
      logger.Log(log_record("disk_failed", log_level::kError)
                     .Add("detail", log.error().Message()));
    }
    if (!is_full) {
      return log;
    }
    std::this_thread::sleep_for(kFullDiskRetryDelay);
  }
}

}  // namespace burdocklock::app
