#include "leader/recent_cancels.hpp"

namespace turmericswitch::control
{

void recent_cancels::add(core::time_point now,
                         core::cancel_workflow const& cancel)
{
    std::erase_if(m_cancelled,
                  [now](auto const& each)
                  { return now - each.second > memory; });
    m_cancelled.insert_or_assign(name{cancel.queue, cancel.workflow}, now);
}

bool recent_cancels::contains(core::time_point now,
                              core::submit_workflow const& submission) const
{
    auto const found =
        m_cancelled.find(name{submission.queue, submission.workflow});
    return found != m_cancelled.end() && now - found->second <= memory;
}

} // namespace turmericswitch::control
