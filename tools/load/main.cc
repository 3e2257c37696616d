// Load generator: sends calls of several customers, checks every response and
// reports outcomes and latencies.
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

#include <CLI/CLI.hpp>

#include "load/load_run.h"
#include "load/report.h"
#include "stand_in/announcer.h"
#include "stand_in/journal.h"
#include "stand_in/target_process.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)

struct tool_options {
  std::string hosts;
  std::vector<std::string> customers;
  double seconds = 10;
  std::vector<std::string> journals;
  std::vector<std::string> shares;
  unsigned gap_after = 5;
  std::string records_path;
  load::load_options load;
};

// Parses "name:key:rate" or "name:key:rate:0+2"; the last part selects entry
// hosts by index.
load::customer_load ParseCustomer(const std::string& text,
                                  std::size_t host_count) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ':');) {
    parts.push_back(part);
  }
  if (parts.size() < 3) {
    std::cerr << "invalid customer, expected name:key:rate: " << text << '\n';
    std::exit(2);
  }
  load::customer_load customer{.name = parts[0],
                               .key = parts[1],
                               .rate_per_second = std::stod(parts[2])};
  if (parts.size() > 3) {
    std::istringstream indices(parts[3]);
    for (std::string index; std::getline(indices, index, '+');) {
      customer.hosts.push_back(std::stoul(index));
    }
  } else {
    for (std::size_t i = 0; i < host_count; ++i) {
      customer.hosts.push_back(i);
    }
  }
  return customer;
}

void WriteRecords(const std::string& path,
                  const std::vector<load::call_record>& records) {
  std::ofstream out(path);
  for (const load::call_record& record : records) {
    out << nlohmann::ordered_json{{"customer", record.customer},
                                  {"outcome", load::ToString(record.outcome)},
                                  {"status", record.status},
                                  {"request", record.request_id},
                                  {"refusal", record.refusal_id},
                                  {"reason", record.reason},
                                  {"run", record.run},
                                  {"order", record.order},
                                  {"tokens", record.tokens},
                                  {"total_ms", ToMilliseconds(record.total)}}
               .dump()
        << '\n';
  }
}

void RunTool(boost::asio::io_context& io, tool_options& options) {
  options.load.hosts = stand_in::ParseEndpoints(options.hosts);
  if (options.load.hosts.empty()) {
    std::cerr << "--hosts contains no address\n";
    std::exit(2);
  }
  options.load.length = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(options.seconds));
  for (const std::string& text : options.customers) {
    options.load.customers.push_back(
        ParseCustomer(text, options.load.hosts.size()));
  }
  const std::vector<load::call_record> records =
      load::RunLoad(io, options.load);
  nlohmann::ordered_json report = load::Summarise(records);
  if (!options.shares.empty()) {
    std::map<std::string, double> shares;
    for (const std::string& text : options.shares) {
      const std::size_t colon = text.find(':');
      shares[text.substr(0, colon)] = std::stod(text.substr(colon + 1));
    }
    const auto warm_up = std::chrono::seconds(options.gap_after);
    const load::service_gap gap =
        load::LargestServiceGap(records, shares, warm_up, options.load.length);
    report["gap"] = {
        {"largest", gap.largest}, {"first", gap.first}, {"second", gap.second}};
  }
  if (!options.journals.empty()) {
    const load::consistency_check check = load::CheckAgainstJournals(
        records, stand_in::ReadJournals(options.journals));
    report["check"] = {{"wrong_answers", check.wrong_answers},
                       {"false_not_run", check.false_not_run},
                       {"doubled_orders", check.doubled_orders}};
  }
  if (!options.records_path.empty()) {
    WriteRecords(options.records_path, records);
  }
  std::cout << report.dump(2) << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Load generator for burdocklock entry hosts.");
  tool_options options;
  app.add_option("--hosts", options.hosts, "Comma-separated entry hosts")
      ->required();
  app.add_option("--customer", options.customers,
                 "name:key:rate[:host index+...], repeatable")
      ->required();
  app.add_option("--seconds", options.seconds,
                 "Duration of the run in seconds");
  app.add_option("--model", options.load.model, "Model to request");
  app.add_option("--service", options.load.service, "Service to call");
  app.add_option("--max-tokens", options.load.max_tokens,
                 "Tokens per response");
  app.add_option("--prompt-bytes", options.load.prompt_bytes,
                 "Prompt size in bytes");
  app.add_option("--whole-share", options.load.unstreamed_share,
                 "Fraction of calls that are not streamed");
  app.add_option("--order-share", options.load.order_share,
                 "Fraction of calls that place an order");
  app.add_option("--certificate-share", options.load.certificate_share,
                 "Fraction of calls that fetch a certificate");
  app.add_option("--leave-share", options.load.disconnect_share,
                 "Fraction of streams that the client closes halfway");
  app.add_option("--seed", options.load.seed, "Random seed of the schedule");
  app.add_option("--journal", options.journals,
                 "Journal of a simulated target to check against, repeatable");
  app.add_option("--share", options.shares,
                 "name:share, repeatable; reports the largest service gap");
  app.add_option("--gap-after", options.gap_after,
                 "Warm-up in seconds before the service gap is measured");
  app.add_option("--concurrency", options.load.concurrency,
                 "Concurrent calls per customer, instead of a rate");
  app.add_option("--records", options.records_path,
                 "Output file with one JSON line per call");
  CLI11_PARSE(app, argc, argv);
  return stand_in::RunOnFiberThread([&](boost::asio::io_context& io) {
    RunTool(io, options);
    return 0;
  });
}
