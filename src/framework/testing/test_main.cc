// Entry point of the test executables of all modules.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
