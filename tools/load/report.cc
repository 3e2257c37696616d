// Summarises call records by customer and host, computes the largest service
// gap, and checks the records against the journals of the targets.
#include "load/report.h"

#include <algorithm>

namespace burdocklock::load {

namespace {

using nlohmann::ordered_json;

ordered_json SummariseGroup(const std::vector<const call_record*>& records) {
  std::map<std::string, std::uint32_t> outcomes;
  std::map<std::string, std::uint32_t> refusals;
  std::vector<duration> first_tokens;
  std::vector<duration> token_intervals;
  std::vector<duration> totals;
  std::uint64_t tokens = 0;
  for (const call_record* record : records) {
    ++outcomes[ToString(record->outcome)];
    if (!record->reason.empty()) {
      ++refusals[record->reason + "/" + record->run];
    }
    tokens += record->tokens;
    if (record->outcome != call_outcome::kAnswered) {
      continue;
    }
    first_tokens.push_back(record->first_token);
    totals.push_back(record->total);
    token_intervals.insert(token_intervals.end(),
                           record->token_intervals.begin(),
                           record->token_intervals.end());
  }
  return {{"calls", records.size()},
          {"outcomes", outcomes},
          {"refusals", refusals},
          {"tokens", tokens},
          {"first_token_p50_ms", Percentile(first_tokens, 0.5)},
          {"first_token_p95_ms", Percentile(first_tokens, 0.95)},
          {"first_token_p99_ms", Percentile(first_tokens, 0.99)},
          {"between_tokens_p95_ms", Percentile(token_intervals, 0.95)},
          {"total_p50_ms", Percentile(totals, 0.5)},
          {"total_p99_ms", Percentile(totals, 0.99)}};
}

}  // namespace

double Percentile(std::vector<duration> samples, double quantile) {
  if (samples.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(),
                   samples.begin() + static_cast<std::ptrdiff_t>(rank),
                   samples.end());
  return ToMilliseconds(samples[rank]);
}

const char* ToString(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kAnswered:
      return "answered";
    case call_outcome::kRefused:
      return "refused";
    case call_outcome::kCut:
      return "cut";
    case call_outcome::kWrongAnswer:
      return "wrong_answer";
    case call_outcome::kNoAnswer:
      return "no_answer";
    case call_outcome::kDisconnected:
      return "left";
  }
  return "no_answer";
}

ordered_json Summarise(const std::vector<call_record>& records) {
  std::vector<const call_record*> all;
  std::map<std::string, std::vector<const call_record*>> by_customer;
  std::map<std::string, std::vector<const call_record*>> by_host;
  for (const call_record& record : records) {
    all.push_back(&record);
    by_customer[record.customer].push_back(&record);
    by_host[ToString(record.host)].push_back(&record);
  }
  ordered_json customers;
  for (const auto& [customer, group] : by_customer) {
    customers[customer] = SummariseGroup(group);
  }
  ordered_json hosts;
  for (const auto& [host, group] : by_host) {
    hosts[host] = SummariseGroup(group);
  }
  return {
      {"all", SummariseGroup(all)}, {"customers", customers}, {"hosts", hosts}};
}

service_gap LargestServiceGap(const std::vector<call_record>& records,
                              const std::map<std::string, double>& shares,
                              duration from,
                              duration to) {
  constexpr std::chrono::milliseconds kStep{100};
  const auto steps = static_cast<std::size_t>((to - from) / kStep) + 1;
  std::map<std::string, std::vector<double>> service;
  for (const auto& [customer, share] : shares) {
    service[customer].resize(steps, 0);
  }
  for (const call_record& record : records) {
    const auto found = service.find(record.customer);
    if (found == service.end() || record.end_time < from ||
        record.end_time >= to) {
      continue;
    }
    const auto step =
        static_cast<std::size_t>((record.end_time - from) / kStep);
    found->second[step] += record.tokens / shares.at(record.customer);
  }
  service_gap gap;
  for (auto a = service.begin(); a != service.end(); ++a) {
    for (auto b = std::next(a); b != service.end(); ++b) {
      double difference = 0;
      double minimum = 0;
      double maximum = 0;
      for (std::size_t i = 0; i < steps; ++i) {
        difference += a->second[i] - b->second[i];
        minimum = std::min(minimum, difference);
        maximum = std::max(maximum, difference);
      }
      if (maximum - minimum > gap.largest) {
        gap = {.largest = maximum - minimum,
               .first = a->first,
               .second = b->first};
      }
    }
  }
  return gap;
}

consistency_check CheckAgainstJournals(
    const std::vector<call_record>& records,
    const stand_in::journal_counts& journals) {
  consistency_check check;
  for (const call_record& record : records) {
    if (record.outcome == call_outcome::kWrongAnswer) {
      ++check.wrong_answers;
    }
    if (record.run == "not_run" &&
        journals.requests.contains(record.request_id)) {
      ++check.false_not_run;
    }
  }
  for (const auto& [order, count] : journals.orders) {
    check.doubled_orders += count > 1 ? 1 : 0;
  }
  return check;
}

}  // namespace burdocklock::load
