// Generates open-loop load with Poisson arrivals, or closed-loop load with a
// fixed number of workers per customer, and reuses idle connections.
#include "load/load_run.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/taus88.hpp>
#include <boost/random/uniform_01.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "load/caller.h"

namespace burdocklock::load {

namespace {

using std::chrono::steady_clock;

// Idle connections to entry hosts for reuse by later calls.
class connection_pool {
 public:
  explicit connection_pool(boost::asio::io_context& io) : io_(io) {}

  std::pair<std::unique_ptr<net::http_client>, bool> Acquire(
      const endpoint& host) {
    auto& idle = idle_[host];
    while (!idle.empty()) {
      std::unique_ptr<net::http_client> client = std::move(idle.back());
      idle.pop_back();
      if (client->IsQuiet()) {
        return {std::move(client), true};
      }
    }
    return {std::make_unique<net::http_client>(io_), false};
  }

  void Release(const endpoint& host, std::unique_ptr<net::http_client> client) {
    if (client->Reusable()) {
      client->ExpiresNever();
      idle_[host].push_back(std::move(client));
    }
  }

 private:
  boost::asio::io_context& io_;
  std::map<endpoint, std::vector<std::unique_ptr<net::http_client>>> idle_;
};

class load_run {
 public:
  load_run(boost::asio::io_context& io, const load_options& options)
      : io_(io), options_(options), pool_(io), start_(steady_clock::now()) {}

  std::vector<call_record> Run() {
    const std::uint32_t workers = std::max(1U, options_.concurrency);
    for (std::size_t i = 0; i < options_.customers.size(); ++i) {
      for (std::uint32_t worker = 0; worker < workers; ++worker) {
        ++pending_tasks_;
        SpawnFiber([this, i, worker] {
          const auto seed =
              options_.seed * 1000 + static_cast<std::uint32_t>(i);
          if (options_.concurrency > 0) {
            RunClosedLoop(options_.customers[i], seed * 1000 + worker);
          } else {
            RunOpenLoop(options_.customers[i], seed);
          }
          OnTaskDone();
        });
      }
    }
    while (pending_tasks_ > 0) {
      all_done_.Wait();
    }
    return std::move(records_);
  }

 private:
  void RunOpenLoop(const customer_load& customer, std::uint32_t seed) {
    boost::random::taus88 random(seed + 1);
    boost::random::exponential_distribution<double> interarrival_time(
        customer.rate_per_second);
    boost::random::uniform_01<double> uniform;
    time_point next = start_;
    for (std::uint32_t number = 0;; ++number) {
      next += std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(interarrival_time(random)));
      if (next >= start_ + options_.length) {
        return;
      }
      const duration wait = next - steady_clock::now();
      if (wait > duration::zero()) {
        SleepFor(io_, wait);
      }
      StartCall(MakePlan(customer, number, uniform(random), uniform(random)));
    }
  }

  void RunClosedLoop(const customer_load& customer, std::uint32_t seed) {
    boost::random::taus88 random(seed + 1);
    boost::random::uniform_01<double> uniform;
    for (std::uint32_t number = 0;
         steady_clock::now() < start_ + options_.length; ++number) {
      call_plan plan =
          MakePlan(customer, number, uniform(random), uniform(random));
      plan.nonce += "-" + std::to_string(seed);
      RunCall(plan);
    }
  }

  call_plan MakePlan(const customer_load& customer,
                     std::uint32_t number,
                     double type_draw,
                     double disconnect_draw) const {
    const std::size_t host = customer.hosts[number % customer.hosts.size()];
    call_plan plan{.customer = customer.name,
                   .key = customer.key,
                   .host = options_.hosts[host],
                   .nonce = customer.name + "-" +
                            std::to_string(options_.seed) + "-" +
                            std::to_string(number)};
    if (type_draw < options_.unstreamed_share) {
      plan.type = call_type::kUnstreamed;
    } else if (type_draw < options_.unstreamed_share + options_.order_share) {
      plan.type = call_type::kOrder;
    } else if (type_draw < options_.unstreamed_share + options_.order_share +
                               options_.certificate_share) {
      plan.type = call_type::kCertificate;
    } else if (disconnect_draw < options_.disconnect_share) {
      plan.disconnect_after_tokens = options_.max_tokens / 2;
    }
    return plan;
  }

  void StartCall(call_plan plan) {
    ++pending_tasks_;
    SpawnFiber([this, plan = std::move(plan)] {
      RunCall(plan);
      OnTaskDone();
    });
  }

  void RunCall(const call_plan& plan) {
    auto [client, connected] = pool_.Acquire(plan.host);
    records_.push_back(MakeCall(io_, options_, plan, *client, connected));
    records_.back().end_time = steady_clock::now() - start_;
    pool_.Release(plan.host, std::move(client));
  }

  void OnTaskDone() {
    if (--pending_tasks_ == 0) {
      all_done_.Set();
    }
  }

  boost::asio::io_context& io_;
  const load_options& options_;
  connection_pool pool_;
  time_point start_;
  std::size_t pending_tasks_ = 0;
  fiber_event all_done_;
  std::vector<call_record> records_;
};

}  // namespace

std::vector<call_record> RunLoad(boost::asio::io_context& io,
                                 const load_options& options) {
  return load_run(io, options).Run();
}

}  // namespace burdocklock::load
