#include "workflow/agent/end_numbers.hpp"

#include <algorithm>

namespace turmericswitch::workflow
{

end_numbers::end_numbers(bool is_from_start)
{
    if (is_from_start)
    {
        m_known = 0;
    }
}

std::vector<end_range>
end_numbers::listed(std::vector<core::ended_run> const& ended,
                    bool has_skipped_rows)
{
    // Without a known start, a skipped row may be the first end.
    m_has_unread_end = !m_known && has_skipped_rows;
    if (m_has_unread_end || ended.empty())
    {
        return {};
    }
    std::vector<std::uint64_t> numbers;
    numbers.reserve(ended.size());
    for (auto const& each : ended)
    {
        numbers.push_back(each.number);
    }
    std::sort(numbers.begin(), numbers.end());
    std::uint64_t known = m_known.value_or(numbers.front() - 1);
    std::vector<end_range> dropped;
    for (auto const number : numbers)
    {
        if (number > known + 1)
        {
            if (has_skipped_rows)
            {
                m_has_unread_end = true;
                break;
            }
            dropped.push_back({known + 1, number - 1});
        }
        known = std::max(known, number);
    }
    m_known = known;
    return dropped;
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
