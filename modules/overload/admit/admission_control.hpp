#ifndef TURMERICSWITCH_OVERLOAD_ADMIT_ADMISSION_CONTROL_HPP
#define TURMERICSWITCH_OVERLOAD_ADMIT_ADMISSION_CONTROL_HPP

#include "core/hooks/random_source.hpp"
#include "overload/order/job_ranking.hpp"

#include <map>
#include <vector>

namespace turmericswitch::overload
{

/// Accepted work, for which a new job has to wait.
struct accepted_work
{
    std::vector<job_account> const& accounts;
    pool_capacities const& capacities;
};

struct admission_decision
{
    bool is_accepted = true;
    /// Time after which a new submission has a chance.
    core::duration retry_after{};
    core::time_point expected_end;
    /// Work of other jobs of the pool that is left, in core-seconds.
    double work_ahead = 0;
    /// True if an earlier refusal is repeated.
    bool is_repeated = false;
};

/// Refuses jobs that can't end while their result is useful.
///
/// The time to retry is that in which the work ahead drains so far that the job
/// could end in time to be useful, plus a random part, so that callers do not
/// return all at once. A refusal is repeated for `refusal_memory`, so that a
/// submission that arrives late is not accepted after its caller was told that
/// the job will not run.
class admission_control
{
public:
    explicit admission_control(core::random_source random);

    /// Decides on a new job. The first job of a queue, and every job while its
    /// pool has no other work or no known capacity, is accepted.
    ///
    /// @param now On the clock of the submission times.
    admission_decision decide(job_account const& job,
                              accepted_work const& accepted,
                              core::time_point now,
                              value_terms const& terms);

    /// Time for which a refusal is repeated: longer than any call of a gateway.
    static constexpr core::duration refusal_memory = std::chrono::seconds(5);

private:
    struct refusal
    {
        core::time_point at;
        admission_decision decision;
    };

    void forget_old(core::time_point now);

    core::random_source m_random;
    std::map<core::workflow_id, refusal> m_refused;
    core::time_point m_next_cleaning;
};

} // namespace turmericswitch::overload

#endif
