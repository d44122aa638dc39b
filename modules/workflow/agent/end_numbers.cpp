#include "workflow/agent/end_numbers.hpp"

#include <algorithm>
#include <chrono>

namespace turmericswitch::workflow
{

namespace
{

/// A worker gets no starts and no acknowledgements of later ends for this long.
/// A row that was garbled on its way is readable in the next answer.
constexpr core::duration max_unread_time = std::chrono::seconds(1);

std::vector<std::uint64_t>
sorted_numbers(std::vector<core::ended_run> const& ended)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(ended.size());
    for (auto const& each : ended)
    {
        numbers.push_back(each.number);
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

} // namespace

end_numbers::end_numbers(bool is_from_start)
{
    if (is_from_start)
    {
        m_known = 0;
    }
}

std::vector<end_range>
end_numbers::listed(std::vector<core::ended_run> const& ended,
                    bool has_skipped_rows,
                    core::duration clock)
{
    auto const numbers = sorted_numbers(ended);
    m_last_without_gap = last_without_gap(numbers);
    bool const may_lack_end =
        !m_known || (!numbers.empty() && numbers.back() > m_last_without_gap);
    if (!has_skipped_rows || !may_lack_end)
    {
        m_unread_since.reset();
    }
    else if (!m_unread_since)
    {
        m_unread_since = clock;
    }
    m_has_unread_end =
        m_unread_since && clock - *m_unread_since < max_unread_time;
    if (numbers.empty() || m_has_unread_end)
    {
        return {};
    }
    if (!m_known)
    {
        m_known = numbers.front() - 1;
        acknowledged(*m_known);
    }
    return add(numbers);
}

std::vector<end_range>
end_numbers::add(std::vector<std::uint64_t> const& numbers)
{
    std::vector<end_range> dropped;
    for (auto const number : numbers)
    {
        if (number > *m_known + 1)
        {
            dropped.push_back({*m_known + 1, number - 1});
        }
        m_known = std::max(*m_known, number);
    }
    return dropped;
}

std::uint64_t
end_numbers::last_without_gap(std::vector<std::uint64_t> const& numbers) const
{
    auto last = m_acknowledged;
    for (auto const number : numbers)
    {
        if (number > last + 1)
        {
            break;
        }
        last = std::max(last, number);
    }
    return last;
}

void end_numbers::acknowledged(std::uint64_t number)
{
    m_acknowledged = std::max(m_acknowledged, number);
}

std::uint64_t end_numbers::readable() const noexcept
{
    return m_has_unread_end ? m_last_without_gap : m_known.value_or(0);
}

bool end_numbers::has_unread_end() const noexcept
{
    return m_has_unread_end;
}

} // namespace turmericswitch::workflow
