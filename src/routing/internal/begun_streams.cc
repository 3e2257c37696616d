// See the header.
#include "routing/begun_streams.h"

namespace burdocklock::routing {

void begun_streams::Add(stream_key key,
                        const streams::stream_origin& origin,
                        time_point until,
                        time_point now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    DropFirst();
  }
  const auto [found, added] =
      streams_.try_emplace(key, stream{.origin = origin, .until = until});
  if (!added) {
    if (until <= found->second.until) {
      return;
    }
    expiries_.erase({found->second.until, key});
    found->second.until = until;
  }
  expiries_.emplace(until, key);
  if (streams_.size() > kMaxStreams) {
    DropFirst();
  }
}

std::optional<streams::stream_origin> begun_streams::Find(
    stream_key key,
    time_point now) const {
  const auto found = streams_.find(key);
  return found != streams_.end() && now < found->second.until
             ? std::optional(found->second.origin)
             : std::nullopt;
}

void begun_streams::DropFirst() {
  streams_.erase(expiries_.begin()->second);
  expiries_.erase(expiries_.begin());
}

}  // namespace burdocklock::routing
