// Stacks of fibers, and what AddressSanitizer has to know of them. Without that
// sanitizer nothing is added to Boost's stacks.
//
// Boost's entry frame of a fiber never returns, so its marks outlive the stack
// and would count against whatever is mapped there next. An exception makes the
// sanitizer clear the marks of the frames it may leave, from the stack pointer
// to the top of the stack it takes the thread to run on.
#pragma once

#include <cstddef>
#include <vector>

#include <boost/context/protected_fixedsize_stack.hpp>
#include <boost/context/stack_context.hpp>
#include <boost/context/stack_traits.hpp>
#include <boost/fiber/context.hpp>

namespace burdocklock {

inline constexpr std::size_t kFiberStackBytes = std::size_t{256} * 1024;

/// Stacks of ended fibers of this thread, for its next ones: mapping one and
/// taking it back costs more than a short fiber does. The thread has one pool
/// at a time; stacks that are given back without one are unmapped.
class fiber_stack_pool {
 public:
  fiber_stack_pool();
  ~fiber_stack_pool();
  fiber_stack_pool(const fiber_stack_pool&) = delete;
  fiber_stack_pool& operator=(const fiber_stack_pool&) = delete;

  [[nodiscard]] std::size_t size() const { return stacks_.size(); }

 private:
  friend class fiber_stack;

  std::vector<boost::context::stack_context> stacks_;
};

/// Allocator of stacks with a guard page; a stack it takes back leaves no
/// marks.
class fiber_stack {
 public:
  using traits_type = boost::context::stack_traits;

  boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context& stack) noexcept;

 private:
  boost::context::protected_fixedsize_stack stacks_{kFiberStackBytes};
};

/// Tells the sanitizer which stack the thread runs on from here on.
class stack_switch {
 public:
  /// Must be called last before `next` is resumed.
  void Announce(const boost::fibers::context& next);

 private:
  /// Bounds of the thread's own stack; known after the first switch from it.
  /// Without the sanitizer they are not used.
  [[maybe_unused]] const void* thread_stack_ = nullptr;
  [[maybe_unused]] std::size_t thread_stack_bytes_ = 0;
};

}  // namespace burdocklock
