#ifndef TURMERICSWITCH_CONTROL_SETTINGS_CONTROL_SETTINGS_HPP
#define TURMERICSWITCH_CONTROL_SETTINGS_CONTROL_SETTINGS_HPP

#include "core/messages/consensus.hpp"
#include "core/types/ids.hpp"
#include "leader/leader_duties.hpp"
#include "settings/settings.hpp"
#include "shared/daemon/daemon_main.hpp"
#include "workflow/dispatch/dispatcher.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::control
{

/// Settings of `turmericswitch-control`.
struct control_settings
{
    core::member_id member;
    /// Name of the control group. An instance does not start with the data
    /// folder of another group.
    std::string group;
    std::string data_folder;
    core::endpoint rpc;
    core::endpoint http;
    std::int64_t http_threads = 64;
    shared::process_settings process;
    /// For --bootstrap, the first members of the group. For --join, the current
    /// members, which the new one answers until its log contains a membership.
    core::group_membership first_members;
    core::duration election_timeout{};
    core::duration heartbeat_interval{};
    std::uint64_t snapshot_interval = 0;
    duty_settings duties;
    /// HTTP addresses of control instances when the settings file was written.
    /// Empty if the section `members` lists the group instead.
    std::vector<core::endpoint> seeds;
    /// Whether an instance with an empty data folder bootstraps the group from
    /// the seeds.
    bool bootstrap = false;
    workflow::dispatch_options dispatch;
    /// Additional address that serves HTTP, meant for status and metrics.
    std::optional<core::endpoint> status_http;
};

/// Reads all settings; errors are collected in the reader.
control_settings parse_control_settings(settings::settings_reader& reader);

} // namespace turmericswitch::control

#endif
