// Records of streams: bounded in number and time, never guessed.
#include "streams/stream_origin_store.h"

#include <catch2/catch.hpp>
