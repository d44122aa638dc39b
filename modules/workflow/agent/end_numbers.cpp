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
    auto missing = missing_in(numbers);
    // Without a known number, the first end may be the missing one.
    bool const may_lack_end = !m_known || !missing.empty();
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
    if (numbers.empty() || (m_has_unread_end && !m_known))
    {
        return {};
    }
    if (m_has_unread_end)
    {
        m_known = missing.front().first - 1;
        return {};
    }
    m_known = std::max(m_known.value_or(0), numbers.back());
    return missing;
}

std::vector<end_range>
end_numbers::missing_in(std::vector<std::uint64_t> const& numbers) const
{
    if (numbers.empty())
    {
        return {};
    }
    std::vector<end_range> missing;
    auto known = m_known.value_or(numbers.front() - 1);
    for (auto const number : numbers)
    {
        if (number > known + 1)
        {
            missing.push_back({known + 1, number - 1});
        }
        known = std::max(known, number);
    }
    return missing;
}

std::uint64_t end_numbers::known() const noexcept
{
    return m_known.value_or(0);
}

bool end_numbers::has_unread_end() const noexcept
{
    return m_has_unread_end;
}

} // namespace turmericswitch::workflow
