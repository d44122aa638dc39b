#ifndef TURMERICSWITCH_GATEWAY_JOBS_REFUSAL_CACHE_HPP
#define TURMERICSWITCH_GATEWAY_JOBS_REFUSAL_CACHE_HPP

#include "core/config/configuration.hpp"
#include "core/types/units.hpp"

#include <map>
#include <mutex>

namespace turmericswitch::gateway
{

/// The last time to retry that the leader gave for each queue, used while the
/// leader does not answer. Thread-safe.
class refusal_cache
{
public:
    /// Longest age of an answer of the leader that is used. The work ahead
    /// changes within tens of seconds.
    static constexpr core::duration max_age = std::chrono::seconds(10);

    void refused(core::time_point now,
                 core::queue_address const& queue,
                 core::duration retry_after);

    /// Must be called when a job of the queue was accepted.
    void accepted(core::queue_address const& queue);

    /// @return The time that is left until the retry, at least `otherwise`;
    ///         `otherwise` without a recent refusal.
    core::duration retry_after(core::time_point now,
                               core::queue_address const& queue,
                               core::duration otherwise) const;

private:
    struct refusal
    {
        core::time_point at;
        core::duration retry_after{};
    };

    mutable std::mutex m_mutex;
    std::map<core::queue_address, refusal> m_refusals;
};

} // namespace turmericswitch::gateway

#endif
