#include "overload/admit/commit_deadline.hpp"

#include <algorithm>

namespace turmericswitch::overload
{

namespace
{

/// Weight of the earlier commits against that of the last one.
constexpr int smoothing = 8;

} // namespace

void commit_time_estimate::add(core::time_point now, core::duration took)
{
    auto const mean = at(now);
    m_mean = mean + (std::min(took, max) - mean) / smoothing;
    m_updated = now;
}

core::duration commit_time_estimate::at(core::time_point now) const
{
    bool const is_recent = m_updated && now - *m_updated <= max_age;
    return is_recent ? m_mean : initial;
}

std::optional<expired_submission>
find_expired(core::time_point now,
             std::optional<core::time_point> answer_by,
             core::duration commit_time)
{
    if (!answer_by || now + commit_time <= *answer_by)
    {
        return std::nullopt;
    }
    return expired_submission{*answer_by - now, commit_time};
}

} // namespace turmericswitch::overload
