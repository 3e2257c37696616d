// What AddressSanitizer knows of fiber stacks. Without it these tests run but
// show nothing.
#include <sys/mman.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include <sanitizer/asan_interface.h>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include "framework/fiber/fiber_thread.h"

namespace burdocklock {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kSanitized = true;
bool IsMarked(const char* begin, const char* end) {
  return __asan_region_is_poisoned(const_cast<char*>(begin),
                                   static_cast<std::size_t>(end - begin)) !=
         nullptr;
}
#else
constexpr bool kSanitized = false;
bool IsMarked(const char*, const char*) {
  return false;
}
#endif

void RunOnFiberThread(const std::function<void()>& main) {
  // The thread's scheduler uses it until the thread ends.
  boost::asio::io_context io;
  std::thread([&] { RunFiberThread(io, main); }).join();
}

// Leaves room for fiber stacks only below the stack of the thread that creates
// it, at least `distance` away.
class reserved_space {
 public:
  explicit reserved_space(std::size_t distance) {
    const char* frame = static_cast<const char*>(__builtin_frame_address(0));
    if (distance > 0) {
      Reserve(distance);
    }
    while (Reserve(kStackBytes) + distance > frame) {
    }
  }
  ~reserved_space() {
    for (const auto& [place, bytes] : reserved_) {
      munmap(place, bytes);
    }
  }
  reserved_space(const reserved_space&) = delete;
  reserved_space& operator=(const reserved_space&) = delete;

 private:
  // A fiber's stack and its guard page.
  static constexpr std::size_t kStackBytes = std::size_t{260} * 1024;

  const char* Reserve(std::size_t bytes) {
    void* place = mmap(nullptr, bytes, PROT_NONE,
                       MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    REQUIRE(place != MAP_FAILED);
    reserved_.emplace_back(place, bytes);
    return static_cast<const char*>(place);
  }

  std::vector<std::pair<void*, std::size_t>> reserved_;
};

// Each frame holds an array and so has marks around it.
[[gnu::noinline]] void ThrowFrom(int frames) {
  volatile char block[256];
  block[0] = static_cast<char>(frames);
  if (frames == 0) {
    throw std::runtime_error("thrown by a library");
  }
  ThrowFrom(frames - 1);
  block[1] = block[0];
}

void ThrowAndCatch() {
  try {
    ThrowFrom(16);
  } catch (const std::runtime_error&) {
  }
}

// Looks at the part of the stack that no frame uses.
[[gnu::noinline]] bool IsMarkedBelow() {
  const char* frame = static_cast<const char*>(__builtin_frame_address(0));
  return IsMarked(frame - std::size_t{32} * 1024, frame - 512);
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

TEST_CASE("fiber stack: an exception was caught: no marks of its frames") {
  std::optional<reserved_space> space;
  bool marked = true;
  RunOnFiberThread([&] {
    space.emplace(std::size_t{128} * 1024 * 1024);
    SpawnFiber([&marked] {
      ThrowAndCatch();
      marked = IsMarkedBelow();
    });
  });
  CHECK_FALSE(marked);
}

// Holds an array while other fibers run and returns whether the bytes behind it
// are still marked.
[[gnu::noinline]] bool KeepsMarks() {
  volatile char block[64];
  block[0] = 0;
  const char* end = const_cast<const char*>(block) + sizeof block;
  boost::this_fiber::yield();
  return IsMarked(end, end + 1);
}

TEST_CASE(
    "fiber stack: an exception is caught on another fiber: marks are kept") {
  std::optional<reserved_space> space;
  bool first_kept = false;
  bool second_kept = false;
  RunOnFiberThread([&] {
    space.emplace(0);
    SpawnFiber([&first_kept] {
      first_kept = KeepsMarks();
      ThrowAndCatch();
    });
    SpawnFiber([&second_kept] {
      ThrowAndCatch();
      second_kept = KeepsMarks();
    });
  });
  CHECK(first_kept == kSanitized);
  CHECK(second_kept == kSanitized);
}

}  // namespace
}  // namespace burdocklock
