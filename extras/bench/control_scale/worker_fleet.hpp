#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_WORKER_FLEET_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_WORKER_FLEET_HPP

#include "control_scale/leader_http.hpp"
#include "control_scale/scale_options.hpp"
#include "standins/worker/simulated_worker.hpp"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace turmericswitch::bench
{

/// Simulated workers that run scripted tasks and send heartbeats through the
/// real protocol, many on each of a few threads.
class worker_fleet
{
public:
    worker_fleet(scale_options const& options, leader_http& control);
    /// Stops the threads.
    ~worker_fleet();

    worker_fleet(worker_fleet const&) = delete;
    worker_fleet& operator=(worker_fleet const&) = delete;

    role_traffic const& traffic() const noexcept;
    /// @return Start orders obeyed.
    std::uint64_t starts() const noexcept;
    std::uint64_t permit_refusals() const noexcept;
    std::uint64_t lease_ends() const noexcept;

    /// Submission to start order of urgent jobs.
    latency_samples urgent;
    /// Time of a heartbeat call.
    latency_samples heartbeats;
    /// How late heartbeats were sent, which shows that this process is too
    /// slow.
    latency_samples lateness;

private:
    struct worker;

    void run(std::size_t first);
    core::duration send(worker& each);
    void note_starts(core::heartbeat_answer const& answer);

    scale_options m_options;
    leader_http& m_control;
    role_traffic m_traffic;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::atomic<std::uint64_t> m_starts = 0;
    std::atomic<std::uint64_t> m_permit_refusals = 0;
    std::atomic<std::uint64_t> m_lease_ends = 0;
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace turmericswitch::bench

#endif
