#ifndef TURMERICSWITCH_CORE_TYPES_IDS_HPP
#define TURMERICSWITCH_CORE_TYPES_IDS_HPP

#include "core/types/strong_id.hpp"

#include <cstdint>
#include <string>

namespace turmericswitch::core
{

using instance_id = strong_id<struct instance_tag, std::string>;
using zone_id = strong_id<struct zone_tag, std::string>;
using region_id = strong_id<struct region_tag, std::string>;
using rack_id = strong_id<struct rack_tag, std::string>;
using service_id = strong_id<struct service_tag, std::string>;
using team_id = strong_id<struct team_tag, std::string>;
/// Groups tasks that behave alike, for the interference model.
using task_kind = strong_id<struct task_kind_tag, std::string>;
using client_id = strong_id<struct client_tag, std::string>;
using operator_id = strong_id<struct operator_tag, std::string>;
using worker_id = strong_id<struct worker_tag, std::string>;
using backend_id = strong_id<struct backend_tag, std::string>;
using workflow_id = strong_id<struct workflow_tag, std::string>;
using queue_id = strong_id<struct queue_tag, std::string>;
using checkpoint_id = strong_id<struct checkpoint_tag, std::string>;

using job_id = strong_id<struct job_tag, std::uint64_t>;
/// Counts the runs of a job. It is the fencing token of orders and reports.
using attempt_number = strong_id<struct attempt_tag, std::uint32_t>;
/// Differs between two lives of the same process.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
using revision = strong_id<struct revision_tag, std::uint64_t>;
using term = strong_id<struct term_tag, std::uint64_t>;
using log_index = strong_id<struct log_index_tag, std::uint64_t>;
using sequence_number = strong_id<struct sequence_tag, std::uint64_t>;
/// Identity of a control instance in the consensus group.
using member_id = strong_id<struct member_id_tag, std::uint64_t>;

/// Identity of one request of a caller.
struct request_id
{
    incarnation gateway;
    sequence_number sequence;

    auto operator<=>(request_id const&) const = default;
};

/// Identity of one try to run a request at one life of one sidecar.
struct attempt_id
{
    request_id request;
    attempt_number number;
    incarnation sidecar;

    auto operator<=>(attempt_id const&) const = default;
};

/// Where a process or worker stands.
struct location
{
    zone_id zone;
    region_id region;

    auto operator<=>(location const&) const = default;
};

/// IP address in text form and port of a listening socket.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(endpoint const&) const = default;
};

/// @return The text form `address:port`, with brackets around IPv6.
std::string to_string(endpoint const& value);

} // namespace turmericswitch::core

#endif
