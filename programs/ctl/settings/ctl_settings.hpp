#ifndef TURMERICSWITCH_CTL_SETTINGS_CTL_SETTINGS_HPP
#define TURMERICSWITCH_CTL_SETTINGS_CTL_SETTINGS_HPP

#include "process/process.hpp"
#include "settings/settings.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// Settings of `turmericswitch-ctl`, section `ctl`.
struct ctl_settings
{
    /// HTTP endpoints of control, tried in this order.
    std::vector<core::endpoint> control;
    /// Name of the operator; empty when not given.
    std::string author;
    /// How long one call tries all control instances.
    core::duration timeout = std::chrono::seconds(30);
};

/// Reads all settings; problems are collected in the reader.
ctl_settings parse_ctl_settings(settings::settings_reader& reader);

/// Reads the file of --config, then lets --control and --author override it.
///
/// @param problems Receives one line per fault.
/// @return Nothing with `io_failed`, a settings code or `usage`.
std::optional<ctl_settings> load_settings(process::arguments const& words,
                                          std::string& problems);

} // namespace turmericswitch::ctl

#endif
