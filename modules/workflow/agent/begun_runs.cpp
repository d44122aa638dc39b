#include "workflow/agent/begun_runs.hpp"

#include <set>

namespace turmericswitch::workflow
{

void begun_runs::add(core::task_run const& run, std::uint64_t first_sync)
{
    m_runs.try_emplace(run, first_sync);
}

bool begun_runs::contains(core::task_run const& run) const
{
    return m_runs.contains(run);
}

void begun_runs::remove(core::task_run const& run)
{
    m_runs.erase(run);
}

std::vector<core::task_run> begun_runs::listed(std::uint64_t sync,
                                               core::worker_runs const& lists,
                                               bool is_whole)
{
    std::set<core::task_run> running;
    for (auto const& each : lists.running)
    {
        running.insert(each.run);
        add(each.run, sync);
    }
    for (auto const& each : lists.ended)
    {
        m_runs.erase(each.run);
    }
    std::vector<core::task_run> dropped;
    if (!is_whole)
    {
        return dropped;
    }
    std::erase_if(m_runs,
                  [&](auto const& item)
                  {
                      auto const& [run, first_sync] = item;
                      bool const is_dropped =
                          first_sync <= sync && !running.contains(run);
                      if (is_dropped)
                      {
                          dropped.push_back(run);
                      }
                      return is_dropped;
                  });
    return dropped;
}

void begun_runs::clear()
{
    m_runs.clear();
}

} // namespace turmericswitch::workflow
