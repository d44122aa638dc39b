#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_JOB_STREAM_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_JOB_STREAM_HPP

#include "control_scale/leader_http.hpp"
#include "control_scale/scale_options.hpp"
#include "core/messages/jobs.hpp"

#include <atomic>
#include <optional>
#include <thread>
#include <vector>

namespace turmericswitch::bench
{

/// @return The name of the zone in which a rack with this number stands.
core::zone_id zone_name(std::size_t number);

/// @return When an urgent job with this payload was submitted, on the clock
/// of the event loop; nothing for other jobs.
std::optional<core::time_point> submitted_at(std::string const& payload);

/// Submits the long tasks that the workers hold and ended jobs for the state.
///
/// @return False if control refused.
bool submit_background(scale_options const& options, leader_http& control);
bool submit_ended(scale_options const& options, leader_http& control);

/// Submits urgent jobs at a fixed rate, whatever the answers take.
class job_stream
{
public:
    job_stream(scale_options const& options, leader_http& control);
    /// Stops the threads.
    ~job_stream();

    job_stream(job_stream const&) = delete;
    job_stream& operator=(job_stream const&) = delete;

    role_traffic const& traffic() const noexcept;

    /// Time of a submission.
    latency_samples commits;

private:
    void run(std::size_t number);

    scale_options m_options;
    leader_http& m_control;
    role_traffic m_traffic;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace turmericswitch::bench

#endif
