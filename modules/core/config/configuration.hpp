#ifndef TURMERICSWITCH_CORE_CONFIG_CONFIGURATION_HPP
#define TURMERICSWITCH_CORE_CONFIG_CONFIGURATION_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::core
{

/// What a name in the rules file stands for.
enum class name_kind : std::uint8_t
{
    instance,
    zone,
    service,
};

/// All names of one thing. The first one written in the rules file is the
/// canonical name; ids in the rest of the configuration are canonical.
struct name_entry
{
    name_kind kind = name_kind::instance;
    std::string canonical;
    std::vector<std::string> aliases;

    bool operator==(name_entry const&) const = default;
};

enum class zone_state : std::uint8_t
{
    in_service,
    out_of_service,
};

/// One availability zone, its region and whether it is in service.
struct zone_rule
{
    zone_id zone;
    region_id region;
    zone_state state = zone_state::in_service;

    bool operator==(zone_rule const&) const = default;
};

/// Limits and retry policy of one service.
struct service_rule
{
    service_id service;
    std::uint32_t slots_per_backend = 8;
    std::uint32_t connections_per_backend = 60;
    std::uint32_t queue_per_backend = 8;
    duration request_timeout = std::chrono::seconds(2);
    std::uint32_t max_attempts = 3;
    /// Retries allowed per 100 successes. At 30% failing requests 20 keeps
    /// more goodput than 10, and it still bounds the extra attempts of an
    /// overload (docs/routing.md).
    std::uint32_t retry_percent = 20;
    /// Upper bound for bytes of this service that cross the region link.
    byte_count region_bytes_per_second{500'000};

    bool operator==(service_rule const&) const = default;
};

/// Sends requests whose path starts with `path_prefix` to a service.
struct route_rule
{
    std::string path_prefix;
    service_id service;
    /// Methods that may be run again without harm, for example "GET".
    std::vector<std::string> idempotent_methods;

    bool operator==(route_rule const&) const = default;
};

enum class colocation : std::uint8_t
{
    may_share,
    never_share,
};

/// States whether tasks of two kinds may run on one worker.
struct colocation_rule
{
    task_kind first;
    task_kind second;
    colocation mode = colocation::may_share;

    bool operator==(colocation_rule const&) const = default;
};

/// Bounds how many tasks of a kind one worker runs at a time.
struct kind_limit_rule
{
    task_kind kind;
    std::uint32_t max_per_worker = 0;

    bool operator==(kind_limit_rule const&) const = default;
};

enum class priority_class : std::uint8_t
{
    urgent,
    service,
    batch,
};

/// Priority and daily deadline of a kind of task.
struct priority_rule
{
    task_kind kind;
    priority_class priority = priority_class::batch;
    /// Minutes after midnight UTC by which the work must be finished.
    std::optional<std::uint16_t> deadline_minute;

    bool operator==(priority_rule const&) const = default;
};

/// What a team's running tasks may use together.
struct quota_rule
{
    team_id team;
    resources limit;

    bool operator==(quota_rule const&) const = default;
};

/// Takes a backend server out of routing for good or until the rule goes.
struct leaving_rule
{
    backend_id backend;

    bool operator==(leaving_rule const&) const = default;
};

/// Where the calls of a queue arrive. Callers know a queue by its address;
/// operators may give it another name.
struct queue_address
{
    std::string host;
    std::string path_prefix;

    auto operator<=>(queue_address const&) const = default;
};

/// A queue of workflows: where its calls arrive and how they are served.
struct queue_rule
{
    queue_id queue;
    std::string host;
    std::string path_prefix;
    /// Service whose workers run the tasks.
    service_id service;
    duration request_timeout{};
    /// Part of the objective that does not depend on the work.
    duration target_latency{};
    /// 0 comes first and may preempt others.
    std::uint32_t priority = 0;
    /// Runs of a task that may fail before its workflow does.
    std::uint32_t attempts = 1;
    /// The objective as a multiple of the longest chain of work, in permille.
    std::uint32_t stretch_permille = 1000;

    bool operator==(queue_rule const&) const = default;
};

/// A pool of workers that belong to one service.
struct pool_rule
{
    service_id service;
    /// The workers refuse what does not fit.
    bool enforces_capacity = false;
    /// The workers are off until they are moved to another pool.
    bool standby = false;

    bool operator==(pool_rule const&) const = default;
};

/// The part of the configuration that operators send as a whole document.
struct configuration_document
{
    /// Given by the operator; 0 while there is no document.
    std::uint64_t version = 0;
    std::vector<queue_rule> queues;
    std::vector<pool_rule> pools;
    /// Largest body of a caller's request; 0 means the gateway's own limit.
    byte_count body_limit;
    /// The document as it was sent; empty where only its rules matter.
    std::string source;

    bool operator==(configuration_document const&) const = default;
};

/// The compiled rules file. Every process acts on one whole configuration;
/// its revision only ever rises.
struct configuration
{
    std::vector<name_entry> names;
    std::vector<zone_rule> zones;
    std::vector<service_rule> services;
    std::vector<route_rule> routes;
    std::vector<colocation_rule> colocations;
    std::vector<kind_limit_rule> kind_limits;
    std::vector<priority_rule> priorities;
    std::vector<quota_rule> quotas;
    std::vector<leaving_rule> leaving;
    configuration_document document;
    /// Availability zones that operators have evacuated.
    std::vector<zone_id> evacuated;

    bool operator==(configuration const&) const = default;
};

} // namespace turmericswitch::core

#endif
