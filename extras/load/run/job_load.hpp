#ifndef TURMERICSWITCH_LOAD_RUN_JOB_LOAD_HPP
#define TURMERICSWITCH_LOAD_RUN_JOB_LOAD_HPP

#include "gateway/requests/job_proxy.hpp"
#include "load/figures/request_tally.hpp"
#include "load/run/open_loop.hpp"
#include "load/scenario/scenario.hpp"

#include <string>
#include <vector>

namespace turmericswitch::load
{

/// A job submitted during the run.
struct submitted_job
{
    std::string name;
    /// 0 if control returned no id.
    std::uint64_t id = 0;
    bool accepted = false;
};

/// Counts over all jobs of a run.
struct job_tally
{
    std::uint64_t submitted = 0;
    /// Refused by control, or without a successful answer to any attempt.
    std::uint64_t not_accepted = 0;
    /// Jobs finished once, according to the worker stand-ins.
    std::uint64_t completed_once = 0;
    /// Jobs finished more than once.
    std::uint64_t completed_twice = 0;
    std::uint64_t not_completed = 0;
};

/// Submits jobs to control over HTTP and waits for them to end.
class job_load
{
public:
    /// @param tag Distinguishes the run from others; part of every job name.
    job_load(job_settings settings, std::string tag);

    /// Submits all jobs at Poisson arrival times.
    ///
    /// @param seed Seed of the arrival times.
    void submit_all(std::uint64_t seed);

    /// Waits until control reports every accepted job as ended.
    ///
    /// @return False if the wait limit passed first.
    bool wait_until_ended();

    std::vector<submitted_job> const& jobs() const;

    /// @return Delays of the submissions against their scheduled times.
    send_delays const& delays() const;

private:
    void submit(std::size_t index);
    bool has_ended(std::uint64_t id);

    job_settings m_settings;
    std::string m_tag;
    gateway::job_proxy m_control;
    std::vector<submitted_job> m_jobs;
    send_delays m_delays;
};

/// @param index Index of the job; selects its kind.
/// @param now Time of the submission, from which the deadline counts.
core::job_description describe_job(job_settings const& settings,
                                   std::string const& name,
                                   std::size_t index,
                                   core::wall_time now);

/// @param finished Finished executions by job name, summed over all worker
/// stand-ins.
job_tally tally_jobs(std::vector<submitted_job> const& jobs,
                     execution_counts const& finished);

} // namespace turmericswitch::load

#endif
