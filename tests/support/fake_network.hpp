#ifndef TURMERICSWITCH_TESTS_SUPPORT_FAKE_NETWORK_HPP
#define TURMERICSWITCH_TESTS_SUPPORT_FAKE_NETWORK_HPP

#include "core/hooks/random_source.hpp"
#include "core/types/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace turmericswitch::testing
{

/// How badly a `fake_network` treats messages.
struct network_faults
{
    std::uint32_t drop_percent = 0;
    std::uint32_t duplicate_percent = 0;
    core::duration shortest = std::chrono::milliseconds(1);
    /// Messages overtake each other when this is above `shortest`.
    core::duration longest = std::chrono::milliseconds(1);
};

/// Carries messages between numbered nodes in virtual time: drops, delays,
/// duplicates and reorders them by seed and follows partitions. Use it to
/// drive decision modules in a fuzz test.
template <typename Message>
class fake_network
{
public:
    using node = std::uint32_t;

    struct delivery
    {
        core::time_point at;
        node from = 0;
        node to = 0;
        Message message;
    };

    fake_network(std::uint64_t seed, network_faults const& faults)
        : m_random(core::seeded_random(seed)), m_faults(faults)
    {
    }

    /// Sends a message that any fault may hit.
    void send(core::time_point now, node from, node to, Message const& message)
    {
        if (is_cut(from, to) || roll(m_faults.drop_percent))
        {
            return;
        }
        post(now + delay(), from, to, message);
        if (roll(m_faults.duplicate_percent))
        {
            // A copy may arrive long after the first.
            post(now + delay() * 8, from, to, message);
        }
    }

    /// Delivers a message at a time without faults; use it for timers.
    void post(core::time_point at, node from, node to, Message const& message)
    {
        m_queue.emplace(at, delivery{at, from, to, message});
    }

    /// Cuts or heals the link between two nodes, in both directions.
    void cut(node a, node b, bool cut)
    {
        auto const link = std::minmax(a, b);
        if (cut)
        {
            m_cuts.insert(link);
        }
        else
        {
            m_cuts.erase(link);
        }
    }

    void heal()
    {
        m_cuts.clear();
    }

    bool is_cut(node a, node b) const
    {
        return m_cuts.contains(std::minmax(a, b));
    }

    /// @return The next delivery up to a time, or nothing.
    std::optional<delivery> next(core::time_point until)
    {
        if (m_queue.empty() || m_queue.begin()->first > until)
        {
            return std::nullopt;
        }
        auto taken = std::move(m_queue.begin()->second);
        m_queue.erase(m_queue.begin());
        return taken;
    }

    /// @return True with this probability.
    bool roll(std::uint32_t percent)
    {
        return core::random_below(m_random, 100) < percent;
    }

    core::duration delay()
    {
        auto const span = (m_faults.longest - m_faults.shortest).count() + 1;
        auto const extra = core::random_below(m_random, span);
        return m_faults.shortest +
               core::duration(static_cast<std::int64_t>(extra));
    }

private:
    core::random_source m_random;
    network_faults m_faults;
    std::multimap<core::time_point, delivery> m_queue;
    std::set<std::pair<node, node>> m_cuts;
};

} // namespace turmericswitch::testing

#endif
