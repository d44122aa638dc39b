#include "workflow/agent/start_calls.hpp"

namespace turmericswitch::workflow
{

start_calls::call_number start_calls::called(core::task_run const& run,
                                             bool is_single)
{
    auto& open = m_open[run];
    open.is_single = is_single && open.numbers.empty();
    open.numbers.insert(++m_last);
    return m_last;
}

bool start_calls::resolved(core::task_run const& run, call_number call)
{
    auto const open = m_open.find(run);
    if (open == m_open.end() || open->second.numbers.erase(call) == 0)
    {
        return false;
    }
    if (open->second.numbers.empty())
    {
        m_open.erase(open);
    }
    return true;
}

void start_calls::listed(core::task_run const& run)
{
    auto const open = m_open.find(run);
    if (open != m_open.end() && open->second.is_single)
    {
        m_open.erase(open);
    }
}

bool start_calls::has_open(core::task_ref const& task) const
{
    auto const first = m_open.lower_bound({task, {}});
    return first != m_open.end() && first->first.task == task;
}

std::vector<core::task_run> start_calls::unresolved() const
{
    std::vector<core::task_run> runs;
    runs.reserve(m_open.size());
    for (auto const& [run, open] : m_open)
    {
        runs.push_back(run);
    }
    return runs;
}

void start_calls::clear() noexcept
{
    m_open.clear();
}

} // namespace turmericswitch::workflow
