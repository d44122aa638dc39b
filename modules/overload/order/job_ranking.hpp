#ifndef TURMERICSWITCH_OVERLOAD_ORDER_JOB_RANKING_HPP
#define TURMERICSWITCH_OVERLOAD_ORDER_JOB_RANKING_HPP

#include "overload/account/job_account.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::overload
{

/// Place of a job in the order of service.
struct job_rank
{
    /// From 1; a lower one is served first. Each job has its own.
    std::uint64_t position = 0;
    /// What the job can expect in this order.
    prospect expected = prospect::in_time;
    /// True if jobs of its priority are not served in the order of their age.
    bool is_reordered = false;
    /// True if the job comes first because it has waited too long.
    bool is_starved = false;
    /// When the job is expected to end in this order.
    core::time_point expected_end;
};

using job_ranks = std::map<core::workflow_id, job_rank>;

/// CPU that jobs of each pool can use, in cores.
using pool_capacities = std::map<capacity_pool, double>;

/// Orders the jobs so that little value is lost.
///
/// Jobs with a better priority take their capacity first. While all jobs of a
/// priority can be in time in the order of their age, they keep that order.
/// Otherwise they go by due time, and whenever one would be late, the job that
/// is worth least for its remaining work is delayed until all others are in
/// time (the algorithm of Moore and Hodgson, with values). Delayed jobs come
/// after those in time, hopeless ones last.
///
/// For a tenth of the time, the oldest job of each priority and pool comes
/// first whose age exceeds `starvation_factor` times its objective, so no job
/// waits for ever.
///
/// @param now On the clock of the submission times.
/// @return The ranks of all jobs: a total order over all pools.
job_ranks rank_jobs(std::vector<job_account> const& accounts,
                    pool_capacities const& capacities,
                    core::time_point now,
                    value_terms const& terms);

/// A job that is older than this multiple of its objective has waited too long.
constexpr int starvation_factor = 10;

/// @return True in the tenth of the time in which jobs that have waited too
/// long
///         come first.
bool serves_starved(core::time_point now) noexcept;

} // namespace turmericswitch::overload

#endif
