#include "node/recovery.hpp"

#include "core/results/last_reason.hpp"
#include "telemetry/telemetry.hpp"

#include <utility>

namespace turmericswitch::control
{

namespace
{

consensus::raft_options options_of(control_settings const& settings)
{
    consensus::raft_options options;
    options.self = settings.member;
    options.election_timeout = settings.election_timeout;
    options.heartbeat_interval = settings.heartbeat_interval;
    return options;
}

/// @return True if the folder has no state except what an interrupted attempt
/// to initialize it may have left, else false with `identity_lost`.
bool check_may_create(consensus::recovered_state const& found,
                      consensus::recovered_state const& first,
                      control_settings const& settings)
{
    bool const is_fresh =
        found.snapshot.last_index.value() == 0 &&
        (found.entries.empty() || found.entries == first.entries);
    return is_fresh ||
           core::fail_bool(core::result_code::identity_lost,
                           settings.data_folder +
                               " has data of an instance whose identity is "
                               "lost; use an empty folder");
}

/// Writes the identity, the hard state and, for a first member of the group,
/// the first log entry.
bool create_state(store::hard_state_store& hard_state,
                  store::log_store& log,
                  consensus::recovered_state const& found,
                  consensus::recovered_state const& first,
                  control_settings const& settings,
                  std::uint64_t data_folder_id)
{
    // The identity is written last, so that a folder with an identity is
    // complete.
    return (found.entries == first.entries || log.append(first.entries)) &&
           hard_state.create({settings.group, settings.member, data_folder_id},
                             first.hard);
}

bool check_identity(store::hard_state_store& hard_state,
                    control_settings const& settings)
{
    auto const identity = hard_state.load_identity(settings.member);
    if (!identity)
    {
        return false;
    }
    return identity->group == settings.group ||
           core::fail_bool(core::result_code::identity_lost,
                           "the data folder belongs to group " +
                               identity->group);
}

consensus::recovered_state initial_state(control_settings const& settings,
                                         start_mode mode)
{
    return mode == start_mode::bootstrap
               ? consensus::bootstrap_state(settings.first_members)
               : consensus::recovered_state{};
}

bool check_lists_member(control_settings const& settings)
{
    for (auto const& member : settings.first_members.members)
    {
        if (member.id == settings.member)
        {
            return true;
        }
    }
    return core::fail_bool(core::result_code::settings_missing_key,
                           "the section members must list this member to "
                           "bootstrap a group");
}

/// Checks that the settings list the group's members: a member that joins
/// answers them until its log contains a membership.
bool check_has_contacts(control_settings const& settings)
{
    return !settings.first_members.members.empty() ||
           core::fail_bool(core::result_code::settings_missing_key,
                           "the section members must list the members of the "
                           "group to join it");
}

/// Checks, before any file is changed, that the data folder and the settings
/// allow a start in this mode.
bool check_may_start(store::hard_state_store& hard_state,
                     control_settings const& settings,
                     start_mode mode)
{
    if (mode == start_mode::normal)
    {
        return check_identity(hard_state, settings);
    }
    if (hard_state.has_identity())
    {
        return core::fail_bool(core::result_code::io_failed,
                               settings.data_folder +
                                   " already has an identity; start the "
                                   "instance without --bootstrap or --join");
    }
    return mode == start_mode::bootstrap ? check_lists_member(settings)
                                         : check_has_contacts(settings);
}

/// Draws the id of a member that joins later. It is above every IPv4 address,
/// because the first members' ids derive from their addresses, and small enough
/// for a signed 64-bit integer in other formats.
core::member_id random_member_id(std::uint64_t random_seed)
{
    constexpr std::uint64_t lowest = std::uint64_t{1} << 32;
    constexpr std::uint64_t range = std::uint64_t{1} << 61;
    return core::member_id(lowest + random_seed % range);
}

/// Chooses the mode by the data folder and sets the member's id in the
/// settings.
start_mode select_mode(store::hard_state_store& hard_state,
                       control_settings& settings,
                       std::uint64_t random_seed)
{
    if (auto const identity = hard_state.load_identity())
    {
        settings.member = identity->member;
        return start_mode::normal;
    }
    if (settings.bootstrap && check_lists_member(settings))
    {
        return start_mode::bootstrap;
    }
    settings.member = random_member_id(random_seed);
    return start_mode::join;
}

/// @return The address at which peers reach this instance: the one that the
/// settings list for it, else the one that it listens at. Nothing if that is
/// not the address of one instance.
std::optional<core::endpoint> peer_address(control_settings const& settings)
{
    for (auto const& member : settings.first_members.members)
    {
        if (member.id == settings.member)
        {
            return member.rpc;
        }
    }
    bool const is_one_instance = settings.rpc.port != 0 &&
                                 !settings.rpc.address.empty() &&
                                 settings.rpc.address != "0.0.0.0";
    return is_one_instance ? std::optional(settings.rpc) : std::nullopt;
}

} // namespace

std::optional<replica_parts> recover(store::file_system& files,
                                     control_settings const& given,
                                     start_mode mode,
                                     std::uint64_t random_seed)
{
    auto settings = given;
    store::hard_state_store hard_state(files, settings.data_folder + "/state");
    if (mode == start_mode::automatic)
    {
        mode = select_mode(hard_state, settings, random_seed);
    }
    if (!check_may_start(hard_state, settings, mode))
    {
        return std::nullopt;
    }
    store::snapshot_store snapshots(files, settings.data_folder + "/snapshots");
    auto snapshot = snapshots.load_newest();
    if (!snapshot)
    {
        return std::nullopt;
    }
    auto const& metadata = snapshot->metadata;
    auto log =
        store::log_store::open(files,
                               settings.data_folder + "/log",
                               {metadata.last_index, metadata.last_term});
    if (!log)
    {
        return std::nullopt;
    }
    consensus::recovered_state recovered;
    recovered.snapshot = metadata;
    recovered.entries = log->take_recovered();
    if (mode != start_mode::normal)
    {
        auto const first = initial_state(settings, mode);
        if (!check_may_create(recovered, first, settings) ||
            !create_state(
                hard_state, *log, recovered, first, settings, random_seed))
        {
            return std::nullopt;
        }
        recovered.entries = first.entries;
    }
    auto const hard = hard_state.load();
    if (!hard)
    {
        return std::nullopt;
    }
    recovered.hard = *hard;
    telemetry::logger("control").write(
        {core::event_code::state_recovered,
         {core::number_field("member", settings.member.value()),
          core::number_field("term", hard->current_term.value()),
          core::number_field("snapshot_index", metadata.last_index.value()),
          core::number_field("members", metadata.membership.members.size()),
          core::number_field("entries", recovered.entries.size()),
          core::number_field("last_index",
                             recovered.entries.empty()
                                 ? metadata.last_index.value()
                                 : recovered.entries.back().index.value())}});
    cluster_state::state_machine state;
    if (metadata.last_index.value() > 0 && !state.restore(snapshot->data))
    {
        return std::nullopt;
    }
    recovered.snapshot_data =
        std::make_shared<std::string const>(std::move(snapshot->data));
    return replica_parts{options_of(settings),
                         std::move(recovered),
                         std::move(hard_state),
                         std::move(*log),
                         std::move(snapshots),
                         std::move(state),
                         peer_address(settings),
                         settings.first_members,
                         settings.snapshot_interval,
                         random_seed};
}

} // namespace turmericswitch::control
