#ifndef TURMERICSWITCH_OVERLOAD_ACCOUNT_JOB_ACCOUNT_HPP
#define TURMERICSWITCH_OVERLOAD_ACCOUNT_JOB_ACCOUNT_HPP

#include "core/config/configuration.hpp"
#include "core/types/units.hpp"
#include "overload/overload_options.hpp"

#include <compare>
#include <cstdint>
#include <string_view>

namespace turmericswitch::overload
{

/// A job that ends within this multiple of its objective is late; after that
/// its result is useless.
constexpr int late_factor = 3;

/// When a job is expected to end.
enum class prospect : std::uint8_t
{
    in_time,
    late,
    /// Not while its result is useful.
    hopeless,
};

/// @return The name as in logs.
std::string_view to_string(prospect expected);

/// Capacity for which jobs compete.
struct capacity_pool
{
    core::service_id service;
    /// True for tasks that use spare CPU, which compete for what is left of it.
    bool uses_spare_cpu = false;

    auto operator<=>(capacity_pool const&) const = default;
};

/// What is known about one job.
struct job_account
{
    core::workflow_id job;
    core::queue_id queue;
    /// Identifies the queue, also after a change of its name.
    core::queue_address address;
    capacity_pool pool;
    /// 0 comes first.
    std::uint32_t priority = 0;
    core::time_point submitted;
    /// Time from the submission within which the job should end.
    core::duration objective{};
    /// Work of all tasks, in core-seconds.
    double total_work = 0;
    /// Work that is left, in core-seconds.
    double remaining_work = 0;
    /// Work of ended tasks, in core-seconds.
    double invested_work = 0;
    /// Longest chain of dependent tasks that are left.
    core::duration remaining_path{};
    /// How far the run times can be trusted, from 0 to 1.
    double confidence = 1;
    /// True if the job must not be delayed in favour of smaller ones.
    bool is_protected = false;
};

/// @return The time up to which the job is in time.
core::time_point due_time(job_account const& account);

/// @return The time after which the job's result is useless.
core::time_point latest_useful_time(job_account const& account);

/// @return The prospect of a job that ends at the time.
prospect prospect_at(job_account const& account, core::time_point end);

/// Time-utility function of a job.
///
/// @param typical_work Work of a typical job of the class, in core-seconds.
/// @return What the job is worth if it ends with this prospect; a typical job
///         in time is worth 1.
double value_of(job_account const& account,
                prospect end,
                value_terms const& terms,
                double typical_work);

} // namespace turmericswitch::overload

#endif
