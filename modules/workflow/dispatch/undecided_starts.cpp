#include "workflow/dispatch/undecided_starts.hpp"

namespace turmericswitch::workflow
{

void undecided_starts::add(core::run_placement const& placed)
{
    m_runs[placed.worker].insert(placed.run);
}

bool undecided_starts::remove(core::worker_id const& worker,
                              core::task_run const& run)
{
    auto const known = m_runs.find(worker);
    if (known == m_runs.end() || known->second.erase(run) == 0)
    {
        return false;
    }
    if (known->second.empty())
    {
        m_runs.erase(known);
    }
    return true;
}

std::size_t undecided_starts::remove_listed(
    core::worker_id const& worker,
    std::map<core::task_run, core::running_task> const& listed)
{
    auto const known = m_runs.find(worker);
    if (known == m_runs.end())
    {
        return 0;
    }
    auto const removed = std::erase_if(known->second,
                                       [&listed](core::task_run const& run)
                                       { return listed.contains(run); });
    if (known->second.empty())
    {
        m_runs.erase(known);
    }
    return removed;
}

std::size_t undecided_starts::count(core::worker_id const& worker) const
{
    auto const known = m_runs.find(worker);
    return known == m_runs.end() ? 0 : known->second.size();
}

void undecided_starts::forget(core::worker_id const& worker)
{
    m_runs.erase(worker);
}

} // namespace turmericswitch::workflow
