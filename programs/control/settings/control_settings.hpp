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
    /// Name of the control group; guards against mixing two groups.
    std::string group;
    std::string data_folder;
    core::endpoint rpc;
    core::endpoint http;
    std::int64_t http_threads = 64;
    shared::process_settings process;
    /// The first members of the group for --bootstrap. For --join, the
    /// current members, which the new one answers until its log names them.
    core::group_membership first_members;
    core::duration election_timeout{};
    core::duration heartbeat_interval{};
    std::uint64_t snapshot_interval = 0;
    duty_settings duties;
    /// HTTP addresses of control instances when the file was written; empty
    /// where the section members lists the group.
    std::vector<core::endpoint> seeds;
    /// The group is formed by its first start, from the seeds.
    bool bootstrap = false;
    workflow::dispatch_options dispatch;
    /// Further address that serves HTTP, for metrics.
    std::optional<core::endpoint> status_http;
};

/// Reads all settings; problems are collected in the reader.
control_settings parse_control_settings(settings::settings_reader& reader);

} // namespace turmericswitch::control

#endif
