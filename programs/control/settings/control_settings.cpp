#include "settings/control_settings.hpp"

#include "shared/peers/member_address.hpp"

#include <algorithm>

namespace turmericswitch::control
{

namespace
{

using settings::settings_reader;
using namespace std::chrono_literals;

constexpr std::int64_t highest_member = 1000;
constexpr std::int64_t highest_first_member = 16;

/// A shorter lease could expire between two heartbeats.
constexpr settings::value_range<core::duration> lease_range{2s, 24h};

void parse_members(settings_reader& reader, control_settings& read)
{
    for (std::int64_t id = 1; id <= highest_first_member; ++id)
    {
        settings::setting_name const name{"members", std::to_string(id)};
        if (!reader.has(name))
        {
            continue;
        }
        auto const addresses = reader.endpoints(name);
        if (addresses.size() != 2)
        {
            reader.report_bad_value(name, "two addresses, rpc and http");
            continue;
        }
        read.first_members.members.push_back(
            {core::member_id(static_cast<std::uint64_t>(id)),
             addresses[0],
             addresses[1],
             false});
    }
}

void parse_leases(settings_reader& reader, control_settings& read)
{
    auto& duties = read.duties;
    auto& leases = duties.leases;
    leases.permit =
        reader.duration({"leases", "permit"}, leases.permit, {500ms, 10s});
    leases.batch_lease =
        reader.duration({"leases", "batch"}, leases.batch_lease, lease_range);
    leases.service_lease = reader.duration(
        {"leases", "service"}, leases.service_lease, lease_range);
    leases.heartbeat_interval = reader.duration(
        {"leases", "heartbeat"}, leases.heartbeat_interval, {50ms, 1s});
    duties.announce_lease = reader.duration(
        {"leases", "announce"}, duties.announce_lease, lease_range);
}

/// Sorts the members by id and drops repeated ones, so that instances whose
/// settings list the seeds in different orders begin with the same membership.
void sort_by_id(core::group_membership& membership)
{
    auto& members = membership.members;
    std::sort(members.begin(), members.end());
    auto const is_same = [](auto const& one, auto const& other)
    { return one.id == other.id; };
    members.erase(std::unique(members.begin(), members.end(), is_same),
                  members.end());
}

/// Derives the ids of the first members from their addresses, so that each
/// first member knows the whole group before it has exchanged any message.
void parse_seeds(settings_reader& reader, control_settings& read)
{
    read.bootstrap = reader.flag({"control", "bootstrap"}, false);
    read.seeds = reader.endpoints({"control", "seeds"});
    read.group = reader.text({"control", "group"}, "control");
    for (auto const& seed : read.seeds)
    {
        auto const id = shared::member_id_from_address(seed.address);
        if (!id)
        {
            reader.report_bad_value({"control", "seeds"},
                                    "IPv4 addresses and ports");
            return;
        }
        read.first_members.members.push_back(
            {*id, {seed.address, read.rpc.port}, seed, false});
    }
    sort_by_id(read.first_members);
    read.member = shared::member_id_from_address(read.rpc.address)
                      .value_or(core::member_id());
}

void parse_dispatch(settings_reader& reader, control_settings& read)
{
    auto& leases = read.dispatch.leases;
    leases.longest =
        reader.duration({"workers", "longest_lease"}, leases.longest, {1s, 1h});
    leases.length = reader.duration({"workers", "lease"},
                                    std::min(leases.length, leases.longest),
                                    {1s, 1h});
    read.dispatch.harm_limit = reader.duration(
        {"workers", "harm_limit"}, read.dispatch.harm_limit, {1s, 1min});
    read.dispatch.copies.enabled =
        reader.flag({"placement", "copies"}, read.dispatch.copies.enabled);
    auto& placement = read.dispatch.placement;
    placement.packing =
        reader.flag({"placement", "packing"}, placement.packing);
    placement.moves = reader.flag({"placement", "moves"}, placement.moves);
    placement.speed = reader.flag({"placement", "speed"}, placement.speed);
}

void parse_overload(settings_reader& reader,
                    overload::overload_options& options)
{
    options.order = reader.flag({"overload", "order"}, options.order);
    options.pace = reader.flag({"overload", "pace"}, options.pace);
    options.preemption =
        reader.flag({"overload", "preemption"}, options.preemption);
    options.admission =
        reader.flag({"overload", "admission"}, options.admission);
    auto& value = options.value;
    value.fixed_percent = static_cast<std::uint32_t>(reader.integer(
        {"overload", "fixed_value"}, {0, 100}, value.fixed_percent));
    value.late_percent = static_cast<std::uint32_t>(reader.integer(
        {"overload", "late_value"}, {0, 100}, value.late_percent));
}

void parse_consensus(settings_reader& reader, control_settings& read)
{
    read.election_timeout =
        reader.duration({"consensus", "election_timeout"}, 500ms, {100ms, 10s});
    read.heartbeat_interval =
        reader.duration({"consensus", "heartbeat_interval"}, 100ms, {20ms, 2s});
    if (read.heartbeat_interval * 3 > read.election_timeout)
    {
        reader.report_bad_value({"consensus", "heartbeat_interval"},
                                "at most a third of election_timeout");
    }
    read.snapshot_interval = static_cast<std::uint64_t>(reader.integer(
        {"consensus", "snapshot_interval"}, {10, 1'000'000}, 10'000));
}

} // namespace

control_settings parse_control_settings(settings_reader& reader)
{
    control_settings read;
    read.process = shared::parse_process_settings(reader);
    read.data_folder = reader.text({"control", "data"});
    read.rpc = reader.endpoint({"control", "rpc"});
    read.http = reader.endpoint({"control", "http"});
    read.http_threads =
        reader.integer({"control", "http_threads"}, {8, 512}, 64);
    if (reader.has({"control", "status_http"}))
    {
        read.status_http = reader.endpoint({"control", "status_http"});
    }
    if (reader.has({"control", "seeds"}))
    {
        parse_seeds(reader, read);
    }
    else
    {
        read.member = core::member_id(static_cast<std::uint64_t>(
            reader.integer({"control", "member"}, {1, highest_member})));
        read.group = reader.text({"control", "group"});
        parse_members(reader, read);
    }
    parse_dispatch(reader, read);
    parse_overload(reader, read.dispatch.overload);
    parse_leases(reader, read);
    parse_consensus(reader, read);
    return read;
}

} // namespace turmericswitch::control
