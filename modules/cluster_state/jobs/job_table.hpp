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
/// Ended jobs stay visible this long, and at most this many of them: two days
/// at 13,000 jobs a day, with room.
constexpr core::duration ended_job_lifetime = std::chrono::hours(48);
constexpr std::size_t max_ended_jobs = 40'000;
/// Queued, running and suspended jobs at one time: over a week of work.
constexpr std::size_t max_live_jobs = 100'000;

/// All jobs with an index by state. Every change costs O(log jobs).
class job_table
{
public:
    /// Adds a queued job under the next id. Ids are never used again.
    core::job_id add(core::job_description description, core::time_point now);

    core::job_record const* find(core::job_id job) const;
    /// @return The record, for changes to all but its state.
    core::job_record* find(core::job_id job);

    /// Changes the state and the index. Reaching a final state drops the
    /// payload and sets the end time.
    void move(core::job_record& job, core::job_state to, core::time_point now);

    /// Makes an ended job that holds nothing subject to removal.
    void retain(core::job_record const& job);

    /// Removes at most `limit` ended jobs that are too old or too many.
    void prune(core::time_point now, std::size_t limit);

    std::set<core::job_id> const& in_state(core::job_state state) const;
    std::map<core::job_id, core::job_record> const& all() const noexcept;
    std::size_t live_count() const;
    std::uint64_t last_id() const noexcept;

    /// Puts a job back from a snapshot.
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
