#include "leader/fleet_progress.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::control
{

namespace
{

/// A worker that has not reported by then is silent or was lost.
constexpr core::duration measured_time = std::chrono::seconds(5);

} // namespace

fleet_progress::fleet_progress(core::time_point began,
                               std::set<core::worker_id> expected)
    : m_began(began), m_expected(std::move(expected))
{
}

void fleet_progress::reported(core::time_point now,
                              core::worker_id const& worker)
{
    if (m_is_taken || !m_known.insert(worker).second)
    {
        return;
    }
    m_known_after.push_back(now - m_began);
    if (m_expected.contains(worker))
    {
        m_expected_after.push_back(now - m_began);
    }
}

std::optional<core::duration> fleet_progress::time_to(unsigned share) const
{
    constexpr std::size_t all = 100;
    auto const count = (m_expected.size() * share + all - 1) / all;
    if (count == 0 || m_expected_after.size() < count)
    {
        return std::nullopt;
    }
    return m_expected_after[count - 1];
}

bool fleet_progress::take_due(core::time_point now)
{
    return now >= m_began + measured_time && !std::exchange(m_is_taken, true);
}

std::size_t fleet_progress::known_within(core::duration time) const
{
    return static_cast<std::size_t>(
        std::upper_bound(m_known_after.begin(), m_known_after.end(), time) -
        m_known_after.begin());
}

core::event fleet_progress::event(core::term led, std::size_t usable) const
{
    core::event result{
        core::event_code::workers_relearned,
        {core::number_field("term", led.value()),
         core::number_field("with_runs", m_expected.size()),
         core::number_field("known", m_known.size()),
         core::number_field("usable", usable),
         core::number_field("known_300ms",
                            known_within(std::chrono::milliseconds(300))),
         core::number_field("known_1s",
                            known_within(std::chrono::seconds(1)))}};
    for (auto const& [percent, field] : shares)
    {
        if (auto const time = time_to(percent))
        {
            result.fields.push_back(core::time_field(field, *time));
        }
    }
    return result;
}

} // namespace turmericswitch::control
