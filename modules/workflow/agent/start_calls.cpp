#include "workflow/agent/start_calls.hpp"

namespace turmericswitch::workflow
{

void start_calls::called(core::task_run const& run)
{
    ++m_calls[run];
}

void start_calls::resolved(core::task_run const& run)
{
    auto const known = m_calls.find(run);
    if (known != m_calls.end() && --known->second == 0)
    {
        m_calls.erase(known);
    }
}

std::vector<core::task_run> start_calls::unresolved() const
{
    std::vector<core::task_run> runs;
    runs.reserve(m_calls.size());
    for (auto const& [run, calls] : m_calls)
    {
        runs.push_back(run);
    }
    return runs;
}

void start_calls::clear() noexcept
{
    m_calls.clear();
}

} // namespace turmericswitch::workflow
