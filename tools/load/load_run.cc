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

// Idle connections to entry hosts, kept for the next call.
class connection_pool {
 public:
  explicit connection_pool(boost::asio::io_context& io) : io_(io) {}

  std::pair<std::unique_ptr<net::http_client>, bool> Take(
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

  void Put(const endpoint& host, std::unique_ptr<net::http_client> client) {
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
      : io_(io), options_(options), pool_(io), begin_(steady_clock::now()) {}

  std::vector<call_record> Run() {
    const std::uint32_t drivers = std::max(1U, options_.concurrency);
    for (std::size_t i = 0; i < options_.customers.size(); ++i) {
      for (std::uint32_t driver = 0; driver < drivers; ++driver) {
        ++pending_;
        SpawnFiber([this, i, driver] {
          const auto seed =
              options_.seed * 1000 + static_cast<std::uint32_t>(i);
          if (options_.concurrency > 0) {
            RepeatCalls(options_.customers[i], seed * 1000 + driver);
          } else {
            DriveCustomer(options_.customers[i], seed);
          }
          Done();
        });
      }
    }
    while (pending_ > 0) {
      all_done_.Wait();
    }
    return std::move(records_);
  }

 private:
  void DriveCustomer(const customer_load& customer, std::uint32_t seed) {
    boost::random::taus88 random(seed + 1);
    boost::random::exponential_distribution<double> gap(
        customer.rate_per_second);
    boost::random::uniform_01<double> share;
    time_point next = begin_;
    for (std::uint32_t number = 0;; ++number) {
      next += std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(gap(random)));
      if (next >= begin_ + options_.length) {
        return;
      }
      const duration wait = next - steady_clock::now();
      if (wait > duration::zero()) {
        SleepFor(io_, wait);
      }
      Start(MakePlan(customer, number, share(random), share(random)));
    }
  }

  void RepeatCalls(const customer_load& customer, std::uint32_t seed) {
    boost::random::taus88 random(seed + 1);
    boost::random::uniform_01<double> share;
    for (std::uint32_t number = 0;
         steady_clock::now() < begin_ + options_.length; ++number) {
      call_plan plan = MakePlan(customer, number, share(random), share(random));
      plan.nonce += "-" + std::to_string(seed);
      Call(plan);
    }
  }

  call_plan MakePlan(const customer_load& customer,
                     std::uint32_t number,
                     double type_draw,
                     double leave_draw) const {
    const std::size_t host = customer.hosts[number % customer.hosts.size()];
    call_plan plan{.customer = customer.name,
                   .key = customer.key,
                   .host = options_.hosts[host],
                   .nonce = customer.name + "-" +
                            std::to_string(options_.seed) + "-" +
                            std::to_string(number)};
    if (type_draw < options_.whole_share) {
      plan.type = call_type::kWhole;
    } else if (type_draw < options_.whole_share + options_.order_share) {
      plan.type = call_type::kOrder;
    } else if (type_draw < options_.whole_share + options_.order_share +
                               options_.certificate_share) {
      plan.type = call_type::kCertificate;
    } else if (leave_draw < options_.leave_share) {
      plan.leave_after = options_.max_tokens / 2;
    }
    return plan;
  }

  void Start(call_plan plan) {
    ++pending_;
    SpawnFiber([this, plan = std::move(plan)] {
      Call(plan);
      Done();
    });
  }

  void Call(const call_plan& plan) {
    auto [client, connected] = pool_.Take(plan.host);
    records_.push_back(MakeCall(io_, options_, plan, *client, connected));
    records_.back().ended = steady_clock::now() - begin_;
    pool_.Put(plan.host, std::move(client));
  }

  void Done() {
    if (--pending_ == 0) {
      all_done_.Set();
    }
  }

  boost::asio::io_context& io_;
  const load_options& options_;
  connection_pool pool_;
  time_point begin_;
  std::size_t pending_ = 0;
  fiber_event all_done_;
  std::vector<call_record> records_;
};

}  // namespace

std::vector<call_record> RunLoad(boost::asio::io_context& io,
                                 const load_options& options) {
  return load_run(io, options).Run();
}

}  // namespace burdocklock::load
