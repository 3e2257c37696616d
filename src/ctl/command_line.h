// What the commands of burdocklockctl share: options, exit codes, output.
#pragma once

#include <string>

#include "ctl/operator_client.h"
#include "framework/types/error.h"

namespace burdocklock::ctl {

// Exit codes, documented in docs/operations/ctl.md.
inline constexpr int kExitOk = 0;
inline constexpr int kExitUnreachable = 3;
inline constexpr int kExitRefused = 4;
inline constexpr int kExitInvalid = 5;

struct ctl_options {
  std::string address = "127.0.0.1:8081";
  std::string token;
  double timeout_s = 10;
  bool json = false;
};

operator_client MakeClient(const ctl_options& options);
/// Prints the problem; returns the exit code.
int Fail(const error& problem);
/// Fetches `path` and prints the document as fields, or as a table of the array
/// member `list` if that is not empty. Returns the exit code.
int Show(const ctl_options& options,
         const std::string& path,
         const std::string& list);

}  // namespace burdocklock::ctl
