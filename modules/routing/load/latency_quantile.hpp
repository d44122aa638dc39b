#ifndef TURMERICSWITCH_ROUTING_LOAD_LATENCY_QUANTILE_HPP
#define TURMERICSWITCH_ROUTING_LOAD_LATENCY_QUANTILE_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Running estimate of one high quantile of a service's latency. Shared by
/// all threads.
///
/// Each sample moves the estimate by a small factor, upwards when it lies
/// above and downwards when below, so that it settles where the set share
/// lies below. A sample that is only known to lie above therefore counts as
/// much as an exact one.
class latency_quantile
{
public:
    /// The attempt gave a whole answer after this time.
    void record(core::duration latency) noexcept;

    /// The attempt took longer than the estimate; its end isn't known.
    void record_above() noexcept;

    /// @return The estimate; zero until the first answer.
    core::duration value() const noexcept;

private:
    void move(bool above) noexcept;

    std::atomic<std::int64_t> m_micros{0};
};

} // namespace turmericswitch::routing

#endif
