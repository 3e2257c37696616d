// See the header.
#include "framework/fiber/internal/fiber_stack.h"

#include <sanitizer/asan_interface.h>
#include <sanitizer/common_interface_defs.h>
#include <boost/fiber/type.hpp>

namespace burdocklock {

namespace {

// What they have touched of their stacks stays in memory, some 12 KB each.
constexpr std::size_t kMaxPooledStacks = 128;

thread_local fiber_stack_pool* current_pool = nullptr;

}  // namespace

fiber_stack_pool::fiber_stack_pool() {
  stacks_.reserve(kMaxPooledStacks);
  current_pool = this;
}

fiber_stack_pool::~fiber_stack_pool() {
  current_pool = nullptr;
  for (boost::context::stack_context& stack : stacks_) {
    fiber_stack().deallocate(stack);
  }
}

boost::context::stack_context fiber_stack::allocate() {
  if (current_pool == nullptr || current_pool->stacks_.empty()) {
    return stacks_.allocate();
  }
  const boost::context::stack_context stack = current_pool->stacks_.back();
  current_pool->stacks_.pop_back();
  return stack;
}

void fiber_stack::deallocate(boost::context::stack_context& stack) noexcept {
  ASAN_UNPOISON_MEMORY_REGION(static_cast<char*>(stack.sp) - stack.size,
                              stack.size);
  if (current_pool != nullptr &&
      current_pool->stacks_.size() < kMaxPooledStacks) {
    current_pool->stacks_.push_back(stack);
    return;
  }
  stacks_.deallocate(stack);
}

// GCC's macro; Clang builds the fuzzers alone, which run no fibers.
#if defined(__SANITIZE_ADDRESS__)

void stack_switch::Announce(const boost::fibers::context& next) {
  using boost::fibers::type;
  const bool to_thread = next.is_context(type::main_context);
  if (to_thread && thread_stack_ == nullptr) {
    return;
  }
  // The context of a fiber lies on its stack, above all frames.
  const std::size_t bytes = next.is_context(type::dispatcher_context)
                                ? fiber_stack::traits_type::default_size()
                                : kFiberStackBytes;
  const char* top = reinterpret_cast<const char*>(&next);
  void* fake_stack = nullptr;
  const void* left = nullptr;
  std::size_t left_bytes = 0;
  __sanitizer_start_switch_fiber(&fake_stack,
                                 to_thread ? thread_stack_ : top - bytes,
                                 to_thread ? thread_stack_bytes_ : bytes);
  __sanitizer_finish_switch_fiber(fake_stack, &left, &left_bytes);
  if (thread_stack_ == nullptr) {
    thread_stack_ = left;
    thread_stack_bytes_ = left_bytes;
  }
}

#else

void stack_switch::Announce(const boost::fibers::context&) {}

#endif

}  // namespace burdocklock
