#include "sidecar/service/graceful_stop.hpp"

#include <algorithm>
#include <thread>

namespace turmericswitch::sidecar
{

namespace
{

constexpr core::duration poll_interval = std::chrono::milliseconds(10);

} // namespace

std::size_t stop_gracefully(sidecar_service& service,
                            transport::rpc_server& rpc,
                            stop_times const& times)
{
    auto const started_at = process::event_loop::now();
    service.drain();
    std::this_thread::sleep_for(times.drain_propagation);
    auto const limit_passed = [&]
    { return process::event_loop::now() - started_at > times.drain_limit; };
    while (service.running() > 0 && !limit_passed())
    {
        std::this_thread::sleep_for(poll_interval);
    }
    rpc.stop_accepting();
    while (!rpc.drained() && !limit_passed())
    {
        std::this_thread::sleep_for(poll_interval);
    }
    return std::max(service.running(), rpc.open_calls());
}

} // namespace turmericswitch::sidecar
