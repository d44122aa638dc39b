#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_WORKER_FLEET_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_WORKER_FLEET_HPP

#include "control_scale/leader_client.hpp"
#include "control_scale/scale_options.hpp"
#include "standins/worker/simulated_worker.hpp"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace turmericswitch::bench
{

/// Simulated workers that run scripted tasks and send heartbeats through the
/// production protocol. A few threads serve many workers each.
class worker_fleet
{
public:
    worker_fleet(scale_options const& options, leader_client& control);
    /// Stops the threads.
    ~worker_fleet();

    worker_fleet(worker_fleet const&) = delete;
    worker_fleet& operator=(worker_fleet const&) = delete;

    role_traffic const& traffic() const noexcept;
    /// @return Number of start orders that workers carried out.
    std::uint64_t starts() const noexcept;
    std::uint64_t permit_refusals() const noexcept;
    std::uint64_t lease_ends() const noexcept;

    /// Time from the submission of an urgent job to its start order.
    latency_samples urgent_start_latencies;
    /// Duration of each heartbeat call.
    latency_samples heartbeat_latencies;
    /// Delay of heartbeats after their due time. High values show that this
    /// process is overloaded.
    latency_samples heartbeat_delays;

private:
    struct worker;

    void run(std::size_t first);
    core::duration send(worker& sender);
    void record_start_latencies(core::heartbeat_answer const& answer);

    scale_options m_options;
    leader_client& m_control;
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
