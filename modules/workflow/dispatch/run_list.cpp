#include "workflow/dispatch/run_list.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

run_list::iterator::iterator(run_list const& list,
                             std::size_t range,
                             std::uint32_t index)
    : m_list(&list), m_range(range), m_index(index)
{
}

core::task_run run_list::iterator::operator*() const
{
    return m_list->run_at(m_range, m_index);
}

run_list::iterator& run_list::iterator::operator++()
{
    auto const& ranges = m_list->m_ranges;
    ++m_index;
    if (m_index == ranges[m_range].tasks.end)
    {
        ++m_range;
        m_index = m_range < ranges.size() ? ranges[m_range].tasks.first : 0;
    }
    return *this;
}

bool run_list::iterator::operator==(iterator const& other) const
{
    return m_range == other.m_range && m_index == other.m_index;
}

run_list::run_list(stage_ref stage) : m_stage(std::move(stage)) {}

run_list::run_list(std::initializer_list<core::task_run> runs)
{
    for (auto const& each : runs)
    {
        push_back(each);
    }
}

void run_list::push_back(core::task_run const& run)
{
    if (m_ranges.empty())
    {
        m_stage = stage_of(run.task);
    }
    push_back({run.task.index, run.task.index + 1}, run.attempt);
}

void run_list::push_back(core::task_range const& tasks,
                         core::attempt_number attempt)
{
    m_size += tasks.end - tasks.first;
    if (!m_ranges.empty() && m_ranges.back().tasks.end == tasks.first &&
        m_ranges.back().attempt == attempt)
    {
        m_ranges.back().tasks.end = tasks.end;
        return;
    }
    m_ranges.push_back({tasks, attempt});
}

void run_list::erase(core::task_run const& run)
{
    auto const before = std::exchange(m_ranges, {});
    m_size = 0;
    auto const index = run.task.index;
    for (auto const& [tasks, attempt] : before)
    {
        bool const has_run =
            tasks.first <= index && index < tasks.end && attempt == run.attempt;
        auto const first_end = has_run ? index : tasks.end;
        if (tasks.first < first_end)
        {
            push_back({tasks.first, first_end}, attempt);
        }
        if (has_run && index + 1 < tasks.end)
        {
            push_back({index + 1, tasks.end}, attempt);
        }
    }
}

void run_list::clear()
{
    m_ranges.clear();
    m_size = 0;
}

void run_list::set_attempt(core::attempt_number attempt)
{
    for (auto const& each : std::exchange(m_ranges, {}))
    {
        m_size -= each.tasks.end - each.tasks.first;
        push_back(each.tasks, attempt);
    }
}

bool run_list::empty() const noexcept
{
    return m_ranges.empty();
}

std::size_t run_list::size() const noexcept
{
    return m_size;
}

core::task_run run_list::front() const
{
    return *begin();
}

run_list::iterator run_list::begin() const
{
    return {*this, 0, m_ranges.empty() ? 0 : m_ranges.front().tasks.first};
}

run_list::iterator run_list::end() const
{
    return {*this, m_ranges.size(), 0};
}

core::task_run run_list::run_at(std::size_t range, std::uint32_t index) const
{
    return {{m_stage.workflow, m_stage.occurrence, m_stage.stage, index},
            m_ranges[range].attempt};
}

} // namespace turmericswitch::workflow
