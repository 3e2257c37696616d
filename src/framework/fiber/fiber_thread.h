// Runs fibers and an Asio io_context on the calling thread without polling:
// when no fiber is ready, the thread blocks in the io_context until a
// completion, a posted task or the next fiber deadline.
#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "framework/types/time.h"

namespace burdocklock {

/// Called before the thread waits again, with the time for which it was busy
/// since it last waited. Must not suspend a fiber.
using turn_observer = std::function<void(duration busy, time_point now)>;

/// Installs the scheduler on this thread and runs `main` as its first fiber.
/// Returns when `main` has returned and all fibers started with `SpawnFiber`
/// have finished.
void RunFiberThread(boost::asio::io_context& context,
                    const std::function<void()>& main,
                    turn_observer on_turn = {});

/// Returns how long the current turn of the calling thread, which must be
/// inside `RunFiberThread`, has lasted. A turn is what the thread does between
/// two waits; 0 before the first one.
duration TurnTime();

/// Lets other fibers run. The calling fiber goes on before all others in the
/// next turn, or in this one once `time` has passed. Meant for one fiber of a
/// thread at a time: a second one has the first go on with the others.
void YieldInTurn(std::optional<duration> time);

/// Starts a detached fiber on the current thread, which must be inside
/// `RunFiberThread`.
void SpawnFiber(std::function<void()> body);

}  // namespace burdocklock
