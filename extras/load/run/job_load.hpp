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

/// One job that the run submitted.
struct submitted_job
{
    std::string name;
    /// 0 if control gave no id.
    std::uint64_t id = 0;
    bool accepted = false;
};

/// Counts over all jobs of a run.
struct job_tally
{
    std::uint64_t submitted = 0;
    /// Control refused it, or did not answer several times.
    std::uint64_t not_accepted = 0;
    std::uint64_t completed_once = 0;
    std::uint64_t completed_twice = 0;
    std::uint64_t not_completed = 0;
};

/// Submits jobs and waits for them through control's operator interface.
class job_load
{
public:
    /// @param tag Unique among runs; part of every name.
    job_load(job_settings settings, std::string tag);

    /// Submits all jobs at their times.
    ///
    /// @param seed Of the arrival times.
    void submit_all(std::uint64_t seed);

    /// Waits until control reports an end of every accepted job.
    ///
    /// @return False if the wait limit passed first.
    bool wait_for_ends();

    std::vector<submitted_job> const& jobs() const;

    /// @return How far submissions kept to their times.
    punctuality const& timing() const;

private:
    void submit(std::size_t index);
    bool has_ended(std::uint64_t id);

    job_settings m_settings;
    std::string m_tag;
    gateway::job_proxy m_control;
    std::vector<submitted_job> m_jobs;
    punctuality m_timing;
};

/// @return The description of job `index`.
core::job_description describe_job(job_settings const& settings,
                                   std::string const& name,
                                   std::size_t index,
                                   core::wall_time now);

/// @param finished Sum over all worker stand-ins.
job_tally tally_jobs(std::vector<submitted_job> const& jobs,
                     execution_counts const& finished);

} // namespace turmericswitch::load

#endif
