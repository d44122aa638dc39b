#ifndef TURMERICSWITCH_TELEMETRY_METRICS_GAUGE_HPP
#define TURMERICSWITCH_TELEMETRY_METRICS_GAUGE_HPP

#include <atomic>
#include <cstdint>

namespace turmericswitch::telemetry
{

/// A value that rises and falls. Any thread may change it.
class gauge
{
public:
    void set(std::int64_t value) noexcept
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    void add(std::int64_t amount) noexcept
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    std::int64_t value() const noexcept
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value = 0;
};

} // namespace turmericswitch::telemetry

#endif
