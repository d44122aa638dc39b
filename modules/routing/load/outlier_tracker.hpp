#ifndef TURMERICSWITCH_ROUTING_LOAD_OUTLIER_TRACKER_HPP
#define TURMERICSWITCH_ROUTING_LOAD_OUTLIER_TRACKER_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Outlier detection for one backend server: ejects it after consecutive
/// failures, and allows a single probe each time the backoff has passed.
/// Shared by all threads.
class outlier_tracker
{
public:
    /// Records a complete answer. Ends an ejection.
    void succeeded() noexcept;

    /// Records a failure of the backend server or of the path to it.
    void failed(core::time_point now) noexcept;

    /// @return True from the ejection until a probe succeeds.
    bool ejected() const noexcept;

    /// @return True when the ejected backend server may be probed now.
    bool probe_due(core::time_point now) const noexcept;

    /// Claims the one probe that is due.
    ///
    /// @return False when another thread was first or none is due.
    bool try_probe(core::time_point now) noexcept;

    /// @return Time of the next probe; the epoch when not ejected.
    core::time_point next_probe() const noexcept;

private:
    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<std::uint32_t> m_ejections{0};
    /// Microseconds; 0 when not ejected.
    std::atomic<std::int64_t> m_next_probe{0};
};

} // namespace turmericswitch::routing

#endif
