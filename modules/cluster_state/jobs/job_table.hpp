#ifndef TURMERICSWITCH_CLUSTER_STATE_JOBS_JOB_TABLE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_JOBS_JOB_TABLE_HPP

#include "core/messages/state.hpp"

#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace turmericswitch::cluster_state
{

constexpr std::size_t job_state_count = 8;
/// Ended jobs stay visible for this time, up to the number below: two days at
/// 13,000 jobs a day, with a reserve.
constexpr core::duration ended_job_lifetime = std::chrono::hours(48);
constexpr std::size_t max_ended_jobs = 40'000;
/// Maximum jobs that have not ended, more than a week of work.
constexpr std::size_t max_live_jobs = 100'000;

/// All jobs, indexed by id and by state. Every change costs O(log jobs).
class job_table
{
public:
    /// Adds a queued job under the next id. Ids are never reused.
    core::job_id add(core::job_description description, core::time_point now);

    core::job_record const* find(core::job_id job) const;
    /// @return The record; any field but its state may be changed. Null if the
    /// job is unknown.
    core::job_record* find(core::job_id job);

    /// Changes the state of a job. A final state also sets its end time and
    /// drops its payload.
    void
    set_state(core::job_record& job, core::job_state to, core::time_point now);

    /// Lets `prune` remove a job if it has ended and holds no resources;
    /// otherwise has no effect.
    void make_prunable(core::job_record const& job);

    /// Removes at most `limit` ended jobs, oldest first, that exceed
    /// `ended_job_lifetime` or `max_ended_jobs`.
    void prune(core::time_point now, std::size_t limit);

    std::set<core::job_id> const& in_state(core::job_state state) const;
    std::map<core::job_id, core::job_record> const& all() const noexcept;
    std::size_t live_count() const;
    std::uint64_t last_id() const noexcept;

    /// Restores a job from a snapshot.
    void restore(core::job_record record);
    void restore_last_id(std::uint64_t last) noexcept;

private:
    std::set<core::job_id>& index(core::job_state state);

    std::uint64_t m_last_id = 0;
    std::map<core::job_id, core::job_record> m_jobs;
    std::array<std::set<core::job_id>, job_state_count> m_by_state;
    std::set<std::pair<core::time_point, core::job_id>> m_ended;
};

} // namespace turmericswitch::cluster_state

#endif
