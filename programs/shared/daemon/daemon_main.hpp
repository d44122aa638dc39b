#ifndef TURMERICSWITCH_SHARED_DAEMON_DAEMON_MAIN_HPP
#define TURMERICSWITCH_SHARED_DAEMON_DAEMON_MAIN_HPP

#include "process/process.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::shared
{

/// Settings of all daemons, from the section `process`.
struct process_settings
{
    /// The file that the settings were read from.
    std::string settings_file;
    std::string ports_file;
    std::string log_level;
    std::string log_file;
    /// `text` or `json`.
    std::string log_format;
};

process_settings parse_process_settings(settings::settings_reader& reader);

/// Properties that differ between the daemons.
struct daemon_info
{
    process::daemon_usage_text usage;
    std::string version;
    /// Prefix of the log line with the reason of a failed start.
    std::string log_part;
};

/// Parses the command line, reads the settings, starts logging and serves.
///
/// @param words Command line without the program name.
/// @param parse Reads the daemon's own settings.
/// @param serve Runs until the shutdown signal. Returns false with the reason
/// if the daemon could not start.
/// @return The exit status: 0, 2 for a wrong command line, else the result
/// code modulo 256.
int run_daemon(daemon_info const& info,
               std::vector<std::string> const& words,
               std::function<void(settings::settings_reader&)> const& parse,
               std::function<bool(process::arguments const&,
                                  process::shutdown_signal&)> const& serve);

/// Overload for a daemon whose settings are one aggregate and that has no
/// start modes.
template <typename Settings>
int run_daemon(daemon_info const& info,
               std::vector<std::string> const& words,
               Settings (*parse)(settings::settings_reader&),
               bool (*serve)(Settings const&, process::shutdown_signal&))
{
    Settings settings;
    return run_daemon(
        info,
        words,
        [&](settings::settings_reader& reader) { settings = parse(reader); },
        [&](process::arguments const&, process::shutdown_signal& signal)
        { return serve(settings, signal); });
}

/// Reads a settings file again after a change.
///
/// @return Nothing, with a warning in the log, if it can't be read; the
///         process then keeps its settings.
std::optional<settings::settings_reader>
reload_settings(std::string const& settings_file);

/// @return Result code of the last reason, modulo 256.
int exit_status_of_last_reason();

/// Writes the ports file if one is configured.
///
/// @return False with `io_failed`.
bool publish_ports(process_settings const& settings,
                   std::vector<process::named_port> const& ports);

} // namespace turmericswitch::shared

#endif
