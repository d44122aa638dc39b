#include "workflow/dispatch/backlog_trace.hpp"

namespace turmericswitch::workflow
{

void backlog_trace::clear()
{
    m_counts.fill(0);
    m_longest.reset();
}

void backlog_trace::add(pending_stage const& pending,
                        std::uint64_t tasks,
                        placement_obstacle why)
{
    if (tasks == 0)
    {
        return;
    }
    m_counts.at(static_cast<std::size_t>(why)) += tasks;
    if (!m_longest || pending.unplaced_since < m_longest->unplaced_since)
    {
        m_longest = {pending.stage, pending.unplaced_since, why};
    }
}

obstacle_counts const& backlog_trace::counts() const noexcept
{
    return m_counts;
}

std::optional<held_back_stage> const& backlog_trace::longest() const noexcept
{
    return m_longest;
}

} // namespace turmericswitch::workflow
