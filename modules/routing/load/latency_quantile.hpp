#ifndef TURMERICSWITCH_ROUTING_LOAD_LATENCY_QUANTILE_HPP
#define TURMERICSWITCH_ROUTING_LOAD_LATENCY_QUANTILE_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Running estimate of the 95th percentile of a service's latency. Shared by
/// all threads.
///
/// Each sample raises the estimate by a small factor if it is larger, else
/// lowers it by a smaller one. The ratio of the factors determines the
/// quantile. A sample only known to be above the estimate therefore counts as
/// much as an exact one.
class latency_quantile
{
public:
    /// Records the time from the send to the complete answer.
    void record(core::duration latency) noexcept;

    /// Records an attempt that has taken longer than the estimate so far.
    void record_above() noexcept;

    /// @return The estimate; zero until the first `record`.
    core::duration value() const noexcept;

private:
    void adjust(bool above) noexcept;

    std::atomic<std::int64_t> m_micros{0};
};

} // namespace turmericswitch::routing

#endif
