#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_JOB_STREAM_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_JOB_STREAM_HPP

#include "control_scale/leader_client.hpp"
#include "control_scale/scale_options.hpp"
#include "core/messages/jobs.hpp"

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

namespace turmericswitch::bench
{

/// @return Name of the zone of the rack with this number.
core::zone_id zone_name(std::size_t number);

/// @return Scheduled submission time of an urgent job with this payload, on the
/// clock of the event loop; nothing for other jobs.
std::optional<core::time_point> submission_time(std::string const& payload);

/// Submits the long-running tasks that occupy the workers.
///
/// @return False if control did not accept them.
bool submit_long_running(scale_options const& options, leader_client& control);

/// Submits jobs and cancels them, so that control keeps them as ended.
///
/// @return False if control did not accept a request.
bool submit_ended_jobs(scale_options const& options, leader_client& control);

/// Submits urgent jobs at a fixed rate, independently of how long the answers
/// take (open loop).
class job_stream
{
public:
    job_stream(scale_options const& options, leader_client& control);
    /// Stops the threads.
    ~job_stream();

    job_stream(job_stream const&) = delete;
    job_stream& operator=(job_stream const&) = delete;

    role_traffic const& traffic() const noexcept;

    /// Duration of each submission call.
    latency_samples submit_latencies;

private:
    void run(std::size_t number);

    scale_options m_options;
    leader_client& m_control;
    role_traffic m_traffic;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace turmericswitch::bench

#endif
