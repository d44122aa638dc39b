#include "sidecar/service/graceful_stop.hpp"

#include <algorithm>
#include <thread>

namespace turmericswitch::sidecar
{

namespace
{

constexpr core::duration stop_poll = std::chrono::milliseconds(10);

} // namespace

std::size_t stop_gracefully(sidecar_service& service,
                            transport::rpc_server& rpc,
                            stop_times const& times)
{
    auto const began = process::event_loop::now();
    service.drain();
    std::this_thread::sleep_for(times.route_change);
    auto const is_late = [&]
    { return process::event_loop::now() - began > times.limit; };
    while (service.running() > 0 && !is_late())
    {
        std::this_thread::sleep_for(stop_poll);
    }
    rpc.stop_accepting();
    while (!rpc.drained() && !is_late())
    {
        std::this_thread::sleep_for(stop_poll);
    }
    return std::max(service.running(), rpc.open_calls());
}

} // namespace turmericswitch::sidecar
