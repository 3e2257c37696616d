// See the header.
#include "framework/fiber/internal/fiber_stack.h"

#include <sanitizer/asan_interface.h>

namespace burdocklock {

void fiber_stack::deallocate(boost::context::stack_context& stack) noexcept {
  ASAN_UNPOISON_MEMORY_REGION(static_cast<char*>(stack.sp) - stack.size,
                              stack.size);
  stacks_.deallocate(stack);
}

}  // namespace burdocklock
