#include "node/catch_up_monitor.hpp"

#include <algorithm>
#include <chrono>

namespace turmericswitch::control
{

namespace
{

/// Time without progress after which a learner is reported, and the time
/// between two reports of it.
constexpr core::duration report_interval = std::chrono::seconds(1);

} // namespace

std::vector<stalled_learner>
catch_up_monitor::check(consensus::group_view const& view, core::time_point now)
{
    forget_others(view);
    std::vector<stalled_learner> stalled;
    for (auto const& status : view.others)
    {
        if (status.is_voter)
        {
            continue;
        }
        progress const begun{status.match, now, now + report_interval};
        auto const [at, is_new] = m_learners.try_emplace(status.member, begun);
        auto& known = at->second;
        auto const lag = consensus::lag_of(status, view.last_index);
        if (is_new || lag == 0 || known.match != status.match)
        {
            known = begun;
        }
        else if (now >= known.next_report)
        {
            known.next_report = now + report_interval;
            stalled.push_back({status.member,
                               status.match,
                               lag,
                               now - known.since,
                               now - status.last_answer});
        }
    }
    return stalled;
}

void catch_up_monitor::forget_others(consensus::group_view const& view)
{
    std::erase_if(m_learners,
                  [&view](auto const& item)
                  {
                      return std::none_of(
                          view.others.begin(),
                          view.others.end(),
                          [&item](consensus::replication_status const& status) {
                              return status.member == item.first &&
                                     !status.is_voter;
                          });
                  });
}

void catch_up_monitor::reset() noexcept
{
    m_learners.clear();
}

} // namespace turmericswitch::control
