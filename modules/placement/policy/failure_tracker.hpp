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

/// Tells bad workers from bad jobs.
///
/// Several different jobs that fail on one worker speak against the worker;
/// it is quarantined and probed with doubling backoff. The caller keeps the
/// workers on which each job failed, and takes back those of a worker that
/// turned out to be bad.
class failure_tracker
{
public:
    /// @param counts False when the job is already known to fail elsewhere,
    /// which says nothing about this worker.
    /// @return True if the worker has to be quarantined.
    bool failed(core::time_point now,
                std::size_t slot,
                core::job_id job,
                bool counts);

    /// A task ended well there, so earlier failures were not the worker's.
    void succeeded(std::size_t slot);

    /// Starts or prolongs a quarantine.
    /// @return How long it lasts.
    core::duration quarantine(core::time_point now, std::size_t slot);

    /// @return Workers whose quarantine is over and that may be probed.
    std::vector<std::size_t> due(core::time_point now);

    /// @return Jobs that failed on the worker within the window.
    std::vector<core::job_id> jobs_failed_on(std::size_t slot) const;

    /// The worker is gone, or its probe ended well.
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
        std::optional<core::time_point> until;
    };

    std::map<std::size_t, record> m_records;
};

} // namespace turmericswitch::placement

#endif
