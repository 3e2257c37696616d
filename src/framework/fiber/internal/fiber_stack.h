// Stacks of fibers, and what AddressSanitizer has to know of them. Without that
// sanitizer nothing is added to Boost's stacks.
//
// Boost's entry frame of a fiber never returns, so its marks outlive the stack
// and would count against whatever is mapped there next.
#pragma once

#include <cstddef>

#include <boost/context/protected_fixedsize_stack.hpp>
#include <boost/context/stack_context.hpp>
#include <boost/context/stack_traits.hpp>

namespace burdocklock {

inline constexpr std::size_t kFiberStackBytes = std::size_t{256} * 1024;

/// Allocator of stacks with a guard page; a stack it takes back leaves no
/// marks.
class fiber_stack {
 public:
  using traits_type = boost::context::stack_traits;

  boost::context::stack_context allocate() { return stacks_.allocate(); }
  void deallocate(boost::context::stack_context& stack) noexcept;

 private:
  boost::context::protected_fixedsize_stack stacks_{kFiberStackBytes};
};

}  // namespace burdocklock
