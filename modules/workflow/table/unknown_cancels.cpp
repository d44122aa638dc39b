#include "workflow/table/unknown_cancels.hpp"

namespace turmericswitch::workflow
{

void unknown_cancels::add(core::cancel_workflow const& command,
                          core::time_point now)
{
    if (command.refuse_for > core::duration::zero())
    {
        restore({command.queue,
                 command.workflow,
                 now + command.refuse_for,
                 command.address});
    }
}

unknown_cancels::name
unknown_cancels::name_of(core::queue_id const& queue,
                         core::queue_address const& address,
                         core::workflow_id const& workflow)
{
    return {address,
            address == core::queue_address{} ? queue : core::queue_id(),
            workflow};
}

bool unknown_cancels::contains(core::submit_workflow const& submission,
                               core::time_point now) const
{
    auto const& queue = submission.queue;
    auto const& id = submission.workflow;
    // A cancel of an earlier release names the queue only.
    return contains(name_of(queue, submission.address, id), now) ||
           contains(name_of(queue, {}, id), now);
}

bool unknown_cancels::contains(name const& cancelled,
                               core::time_point now) const
{
    auto const found = m_expiry.find(cancelled);
    return found != m_expiry.end() && now < found->second;
}

void unknown_cancels::expire(core::time_point now, std::size_t limit)
{
    for (;
         limit > 0 && !m_by_expiry.empty() && m_by_expiry.begin()->first <= now;
         --limit)
    {
        erase_first_to_expire();
    }
}

void unknown_cancels::restore(core::unknown_cancel_record const& record)
{
    auto const cancelled =
        name_of(record.queue, record.address, record.workflow);
    if (auto const known = m_expiry.find(cancelled); known != m_expiry.end())
    {
        m_by_expiry.erase({known->second, cancelled});
    }
    else if (m_expiry.size() >= max_unknown_cancels)
    {
        erase_first_to_expire();
    }
    m_expiry[cancelled] = record.expires;
    m_by_expiry.insert({record.expires, cancelled});
}

std::vector<core::unknown_cancel_record> unknown_cancels::records() const
{
    std::vector<core::unknown_cancel_record> all;
    all.reserve(m_expiry.size());
    for (auto const& [cancelled, expires] : m_expiry)
    {
        all.push_back(
            {cancelled.queue, cancelled.workflow, expires, cancelled.address});
    }
    return all;
}

void unknown_cancels::erase_first_to_expire()
{
    m_expiry.erase(m_by_expiry.begin()->second);
    m_by_expiry.erase(m_by_expiry.begin());
}

} // namespace turmericswitch::workflow
