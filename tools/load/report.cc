#include "load/report.h"

#include <algorithm>

namespace burdocklock::load {

namespace {

using nlohmann::ordered_json;

ordered_json SummariseGroup(const std::vector<const call_record*>& records) {
  std::map<std::string, std::uint32_t> outcomes;
  std::map<std::string, std::uint32_t> refusals;
  std::vector<duration> first_tokens;
  std::vector<duration> gaps;
  std::vector<duration> totals;
  std::uint64_t tokens = 0;
  for (const call_record* record : records) {
    ++outcomes[ToString(record->outcome)];
    if (!record->reason.empty()) {
      ++refusals[record->reason + "/" + record->run];
    }
    tokens += record->tokens;
    if (record->outcome != seen_outcome::kAnswered) {
      continue;
    }
    first_tokens.push_back(record->first_token);
    totals.push_back(record->total);
    gaps.insert(gaps.end(), record->gaps.begin(), record->gaps.end());
  }
  return {{"calls", records.size()},
          {"outcomes", outcomes},
          {"refusals", refusals},
          {"tokens", tokens},
          {"first_token_p50_ms", Percentile(first_tokens, 0.5)},
          {"first_token_p95_ms", Percentile(first_tokens, 0.95)},
          {"first_token_p99_ms", Percentile(first_tokens, 0.99)},
          {"between_tokens_p95_ms", Percentile(gaps, 0.95)},
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

const char* ToString(seen_outcome outcome) {
  switch (outcome) {
    case seen_outcome::kAnswered:
      return "answered";
    case seen_outcome::kRefused:
      return "refused";
    case seen_outcome::kCut:
      return "cut";
    case seen_outcome::kWrongAnswer:
      return "wrong_answer";
    case seen_outcome::kNoAnswer:
      return "no_answer";
    case seen_outcome::kLeft:
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

service_gap LargestGap(const std::vector<call_record>& records,
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
    if (found == service.end() || record.ended < from || record.ended >= to) {
      continue;
    }
    const auto step = static_cast<std::size_t>((record.ended - from) / kStep);
    found->second[step] += record.tokens / shares.at(record.customer);
  }
  service_gap gap;
  for (auto a = service.begin(); a != service.end(); ++a) {
    for (auto b = std::next(a); b != service.end(); ++b) {
      double difference = 0;
      double least = 0;
      double most = 0;
      for (std::size_t i = 0; i < steps; ++i) {
        difference += a->second[i] - b->second[i];
        least = std::min(least, difference);
        most = std::max(most, difference);
      }
      if (most - least > gap.largest) {
        gap = {.largest = most - least, .first = a->first, .second = b->first};
      }
    }
  }
  return gap;
}

truth_check CheckTruth(const std::vector<call_record>& records,
                       const stand_in::journal_counts& journals) {
  truth_check check;
  for (const call_record& record : records) {
    if (record.outcome == seen_outcome::kWrongAnswer) {
      ++check.wrong_answers;
    }
    if (record.run == "not_run" &&
        journals.requests.contains(record.request_name)) {
      ++check.false_not_run;
    }
  }
  for (const auto& [order, count] : journals.orders) {
    check.doubled_orders += count > 1 ? 1 : 0;
  }
  return check;
}

}  // namespace burdocklock::load
