#pragma once

#include <string>

// The public interface of libredwingferry, on which the installed programs are
// thin wrappers.
namespace rwf {

// Exit statuses of the programs.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Runs one entry VM with the settings file at `path` until a graceful shutdown
// (SIGTERM or SIGINT) has finished. Errors are written to standard error.
// Returns kExitSuccess, kExitFailure if a port cannot be bound, or kExitUsage
// for settings that are missing or invalid.
int RunEntryVm(const std::string& path);

}  // namespace rwf
