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
    /// HTTP endpoints of the control instances, tried in this order.
    std::vector<core::endpoint> control;
    /// Name of the operator; empty when not given.
    std::string author;
    /// Time limit of one call, including retries on other instances.
    core::duration timeout = std::chrono::seconds(30);
};

/// Reads all settings; the reader collects the errors.
ctl_settings parse_ctl_settings(settings::settings_reader& reader);

/// Reads the file of --config, then lets --control and --author override it.
///
/// @param problems Receives one line per error.
/// @return The settings, or nothing with `io_failed`, a settings code or
/// `usage` as last reason.
std::optional<ctl_settings> load_settings(process::arguments const& arguments,
                                          std::string& problems);

} // namespace turmericswitch::ctl

#endif
