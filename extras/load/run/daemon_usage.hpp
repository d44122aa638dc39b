#ifndef TURMERICSWITCH_LOAD_RUN_DAEMON_USAGE_HPP
#define TURMERICSWITCH_LOAD_RUN_DAEMON_USAGE_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace turmericswitch::load
{

/// What a process has used so far.
struct daemon_usage
{
    double cpu_seconds = 0;
    double resident_mib = 0;
};

/// @param text Content of `/proc/<pid>/stat`.
/// @return User and system time in clock ticks.
std::optional<std::uint64_t> cpu_ticks(std::string const& text);

/// @param text Content of `/proc/<pid>/status`.
/// @return VmRSS in KiB.
std::optional<std::uint64_t> resident_kib(std::string const& text);

/// @return Nothing if there is no such process.
std::optional<daemon_usage> read_usage(std::int64_t pid);

} // namespace turmericswitch::load

#endif
