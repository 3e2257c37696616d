// Entry point of each module's tests.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
