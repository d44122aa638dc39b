#ifndef TURMERICSWITCH_PLACEMENT_POLICY_FAILURE_TRACKER_HPP
#define TURMERICSWITCH_PLACEMENT_POLICY_FAILURE_TRACKER_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace turmericswitch::placement
{

/// Detects faulty workers by the failures of different jobs.
///
/// A worker on which several different jobs fail is quarantined and probed
/// with exponential backoff. The caller records the workers on which each job
/// failed, and removes a worker that turned out to be faulty from them.
class failure_tracker
{
public:
    /// Records a failed attempt.
    ///
    /// @param counts_against_worker False if the job already failed on other
    /// workers, so that the job itself is probably at fault.
    /// @return True if the worker must be quarantined.
    bool failed(core::time_point now,
                std::size_t slot,
                core::job_id job,
                bool counts_against_worker);

    /// Clears the failures of a worker that finished a task, unless it is
    /// quarantined.
    void succeeded(std::size_t slot);

    /// Starts or extends a quarantine.
    /// @return Its length.
    core::duration quarantine(core::time_point now, std::size_t slot);

    /// @return Workers whose quarantine is over; each is returned once and may
    /// then be probed.
    std::vector<std::size_t> take_ended_quarantines(core::time_point now);

    /// @return Jobs whose failures count against the worker at present.
    std::vector<core::job_id> jobs_failed_on(std::size_t slot) const;

    /// Forgets a worker that was removed or whose probe succeeded.
    void forget(std::size_t slot);

private:
    struct failure
    {
        core::time_point at;
        core::job_id job;
    };

    struct record
    {
        std::deque<failure> recent;
        unsigned quarantines = 0;
        std::optional<core::time_point> quarantined_until;
    };

    std::map<std::size_t, record> m_records;
};

} // namespace turmericswitch::placement

#endif
