#ifndef TURMERICSWITCH_LOAD_RUN_DAEMON_USAGE_HPP
#define TURMERICSWITCH_LOAD_RUN_DAEMON_USAGE_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace turmericswitch::load
{

/// Resources that a process uses.
struct daemon_usage
{
    /// User and system time since the process started.
    double cpu_seconds = 0;
    double resident_mib = 0;
};

/// @param text Content of `/proc/<pid>/stat`.
/// @return Sum of user and system time in clock ticks, or nothing if the text
/// is malformed.
std::optional<std::uint64_t> cpu_ticks(std::string const& text);

/// @param text Content of `/proc/<pid>/status`.
/// @return VmRSS in KiB, or nothing if it is missing.
std::optional<std::uint64_t> resident_kib(std::string const& text);

/// @return Usage of the process, or nothing with io_failed if it doesn't exist.
std::optional<daemon_usage> read_usage(std::int64_t pid);

} // namespace turmericswitch::load

#endif
