// What AddressSanitizer knows of fiber stacks. Without it these tests run but
// show nothing.
#include <cstddef>
#include <functional>
#include <thread>

#include <sanitizer/asan_interface.h>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>
#include <catch2/catch.hpp>

#include "framework/fiber/fiber_thread.h"

namespace burdocklock {
namespace {

#if defined(__SANITIZE_ADDRESS__)
bool IsMarked(const char* begin, const char* end) {
  return __asan_region_is_poisoned(const_cast<char*>(begin),
                                   static_cast<std::size_t>(end - begin)) !=
         nullptr;
}
#else
bool IsMarked(const char*, const char*) {
  return false;
}
#endif

void RunOnFiberThread(const std::function<void()>& main) {
  // The thread's scheduler uses it until the thread ends.
  boost::asio::io_context io;
  std::thread([&] { RunFiberThread(io, main); }).join();
}

TEST_CASE("fiber stack: its fiber has ended: no marks are left") {
  const char* low = nullptr;
  const char* high = nullptr;
  RunOnFiberThread([&] {
    SpawnFiber([&] {
      low = static_cast<const char*>(__builtin_frame_address(0));
      // Lies above all frames of its fiber.
      high = reinterpret_cast<const char*>(boost::fibers::context::active());
    });
  });
  REQUIRE(low < high);
  CHECK_FALSE(IsMarked(low, high));
}

}  // namespace
}  // namespace burdocklock
