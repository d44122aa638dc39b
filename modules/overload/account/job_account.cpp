#include "overload/account/job_account.hpp"

#include <algorithm>

namespace turmericswitch::overload
{

std::string_view to_string(prospect expected)
{
    switch (expected)
    {
    case prospect::in_time:
        return "in_time";
    case prospect::late:
        return "late";
    case prospect::hopeless:
        return "hopeless";
    }
    return "unknown";
}

core::time_point due_time(job_account const& account)
{
    return account.submitted + account.objective;
}

core::time_point latest_useful_time(job_account const& account)
{
    return account.submitted + account.objective * late_factor;
}

prospect prospect_at(job_account const& account, core::time_point end)
{
    if (end <= due_time(account))
    {
        return prospect::in_time;
    }
    return end <= latest_useful_time(account) ? prospect::late
                                              : prospect::hopeless;
}

double value_of(job_account const& account,
                prospect end,
                value_terms const& terms,
                double typical_work)
{
    constexpr double percent = 100;
    if (end == prospect::hopeless)
    {
        return 0;
    }
    double const fixed = terms.fixed_percent / percent;
    double const share =
        typical_work > 0 ? account.total_work / typical_work : 1.0;
    double const in_time = fixed + (1 - fixed) * share;
    return end == prospect::in_time ? in_time
                                    : in_time * terms.late_percent / percent;
}

} // namespace turmericswitch::overload
