#ifndef TURMERICSWITCH_ROUTING_LOAD_OUTLIER_TRACKER_HPP
#define TURMERICSWITCH_ROUTING_LOAD_OUTLIER_TRACKER_HPP

#include "core/types/units.hpp"

#include <atomic>
#include <cstdint>

namespace turmericswitch::routing
{

/// Ejects one backend server after consecutive failures and lets single
/// probes through when its backoff is over. Shared by all threads.
class outlier_tracker
{
public:
    /// A whole answer came back; ends an ejection.
    void succeeded() noexcept;

    /// The backend server or the way to it failed.
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
