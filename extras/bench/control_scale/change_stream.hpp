#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_CHANGE_STREAM_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_CHANGE_STREAM_HPP

#include "control_scale/leader_client.hpp"
#include "control_scale/rpc_fleet.hpp"
#include "control_scale/scale_options.hpp"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>

namespace turmericswitch::bench
{

/// Applies rules files at a fixed rate and waits until each is in force at
/// every simulated sidecar and gateway.
class change_stream
{
public:
    /// @param fleet Must outlive the stream, as must `control`.
    change_stream(scale_options const& options,
                  leader_client& control,
                  rpc_fleet const& fleet);
    /// Stops the thread.
    ~change_stream();

    change_stream(change_stream const&) = delete;
    change_stream& operator=(change_stream const&) = delete;

    /// Applies the first rules file, which has the zones, services and quotas
    /// of the run.
    ///
    /// @return False if control did not accept it.
    bool prepare();
    void start();

    /// Duration of each apply call.
    latency_samples commit_latencies;
    /// Time from acceptance of a change until all simulated sidecars and
    /// gateways have it in force.
    latency_samples propagation_latencies;
    role_traffic traffic;

private:
    void run();
    bool apply(std::uint64_t number);
    std::optional<std::uint64_t> revision();
    std::string rules_text(std::uint64_t number) const;

    scale_options m_options;
    leader_client& m_control;
    rpc_fleet const& m_fleet;
    std::uint64_t m_revision = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace turmericswitch::bench

#endif
