#pragma once

#include <string>

// The public interface of libredwingferry. Programs that ship are thin users of
// it.
namespace rwf {

// Exit statuses of the programs.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// Runs one entry VM with the settings file at `path` until a planned stop
// (SIGTERM or SIGINT) has finished. Errors go to standard error. Returns
// kExitSuccess, kExitFailure if a port cannot be bound, or kExitUsage for
// settings that are missing or invalid.
int RunEntryVm(const std::string& path);

}  // namespace rwf
