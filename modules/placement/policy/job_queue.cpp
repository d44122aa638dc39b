#include "placement/policy/job_queue.hpp"

#include <algorithm>

namespace turmericswitch::placement
{

job_queue::sort_key job_queue::sort_key_of(task_entry const& task)
{
    return {task.latest_start, task.spec.job};
}

job_queue::team_queues& job_queue::queues_of(core::priority_class priority)
{
    return m_classes.at(static_cast<std::size_t>(priority));
}

void job_queue::add(task_entry const& task)
{
    auto& own = queues_of(task.priority)[task.spec.team];
    if (!own.jobs.insert(sort_key_of(task)).second)
    {
        return;
    }
    ++m_size;
    if (task.is_batch() && task.latest_start != core::time_point::max())
    {
        m_batch_by_latest_start.insert(sort_key_of(task));
    }
}

void job_queue::remove(task_entry const& task)
{
    auto& all = queues_of(task.priority);
    auto const own = all.find(task.spec.team);
    if (own == all.end() || own->second.jobs.erase(sort_key_of(task)) == 0)
    {
        return;
    }
    --m_size;
    m_batch_by_latest_start.erase(sort_key_of(task));
    if (own->second.jobs.empty())
    {
        all.erase(own);
    }
}

std::vector<core::team_id> job_queue::teams(core::priority_class priority) const
{
    std::vector<core::team_id> names;
    for (auto const& item : m_classes.at(static_cast<std::size_t>(priority)))
    {
        names.push_back(item.first);
    }
    return names;
}

std::vector<core::job_id> job_queue::next_jobs(core::priority_class priority,
                                               core::team_id const& team,
                                               std::size_t count)
{
    std::vector<core::job_id> next;
    auto& all = queues_of(priority);
    auto const own = all.find(team);
    if (own == all.end())
    {
        return next;
    }
    auto& [jobs, cursor] = own->second;
    auto front = jobs.begin();
    for (; front != jobs.end() && next.size() < (count + 1) / 2; ++front)
    {
        next.push_back(front->second);
    }
    auto rest = front == jobs.end()
                    ? front
                    : jobs.lower_bound(std::max(cursor, *front));
    for (; rest != jobs.end() && next.size() < count; ++rest)
    {
        next.push_back(rest->second);
    }
    cursor = rest == jobs.end()
                 ? sort_key{core::time_point::min(), core::job_id(0)}
                 : *rest;
    return next;
}

std::vector<core::job_id> job_queue::at_risk(core::time_point from,
                                             core::time_point limit,
                                             std::size_t count) const
{
    std::vector<core::job_id> jobs;
    auto next = m_batch_by_latest_start.lower_bound({from, core::job_id(0)});
    for (; next != m_batch_by_latest_start.end() && next->first <= limit;
         ++next)
    {
        if (jobs.size() >= count)
        {
            break;
        }
        jobs.push_back(next->second);
    }
    return jobs;
}

std::size_t job_queue::size() const noexcept
{
    return m_size;
}

} // namespace turmericswitch::placement
