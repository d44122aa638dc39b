#ifndef TURMERICSWITCH_CORE_MESSAGES_REGISTRY_HPP
#define TURMERICSWITCH_CORE_MESSAGES_REGISTRY_HPP

#include "core/config/backend_scope.hpp"
#include "core/messages/config_transfer.hpp"
#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <optional>
#include <vector>

namespace turmericswitch::core
{

/// A backend server as its sidecar announces it.
struct backend_entry
{
    backend_id backend;
    endpoint sidecar;
    incarnation sidecar_incarnation;
    location place;
    service_id service;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool draining = false;

    bool operator==(backend_entry const&) const = default;
};

/// `/announce`: registers a backend server or renews its registration.
struct announce_request
{
    backend_entry entry;
    /// Configuration revision in force at the sidecar.
    revision in_force;

    bool operator==(announce_request const&) const = default;
};

/// Answer to `/announce`.
struct announce_answer
{
    result_code code = result_code::ok;
    /// Time after which the registration ends unless renewed.
    duration lease{};
    /// True when operators want the backend server to drain.
    bool drain = false;
    revision current;
    /// Where the leader listens, when `code` is `not_leader`.
    std::optional<endpoint> leader;

    bool operator==(announce_answer const&) const = default;
};

/// Identity and version of a registry. A new leader starts a new epoch, and
/// versions of different epochs can't be compared.
struct registry_version
{
    term epoch;
    sequence_number version;

    auto operator<=>(registry_version const&) const = default;
};

/// `/watch`: asks for changes after what the process already has. Control
/// answers when there is a change or when `max_wait` has passed.
struct watch_request
{
    /// Name of the asking process, for status reports.
    client_id process;
    revision in_force;
    registry_version registry;
    duration max_wait{};
    /// Set by a sidecar: the configuration is reduced to this, and no registry
    /// is sent.
    std::optional<backend_scope> scope;
    /// Set by a process that takes transfers instead of whole configurations:
    /// the revision that it can apply a delta to, or 0.
    std::optional<revision> delta_base;

    bool operator==(watch_request const&) const = default;
};

/// Answer to `/watch`.
struct watch_answer
{
    result_code code = result_code::ok;
    revision current;
    /// The configuration, whole or reduced to the scope asked for; only when
    /// it is newer than asked for.
    std::optional<configuration> config;
    registry_version registry;
    /// True when `changed` is the whole registry rather than a delta.
    bool whole_registry = false;
    std::vector<backend_entry> changed;
    std::vector<backend_id> removed;
    std::optional<endpoint> leader;
    /// RPC endpoints of the control group's members.
    std::vector<endpoint> control;
    /// Instead of `config`, for a process that takes transfers.
    std::optional<config_transfer> transfer;

    bool operator==(watch_answer const&) const = default;
};

} // namespace turmericswitch::core

#endif
