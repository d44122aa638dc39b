#include "telemetry/decisions/decision_log.hpp"

#include "telemetry/log/logger.hpp"
#include "telemetry/metrics/thread_stripe.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace turmericswitch::telemetry
{

decision_log::decision_log(std::size_t capacity, std::size_t rings)
    : m_capacity(capacity), m_rings(rings)
{
    assert(capacity > 0);
    assert(rings > 0 && rings <= stripe_count);
}

void decision_log::record(core::decision_record decision)
{
    if (logger::enabled(log_level::info))
    {
        logger(decision.part).info(core::to_string(decision));
    }
    ring& own = m_rings[stripe_of_this_thread() % m_rings.size()];
    std::lock_guard const lock(own.mutex);
    numbered_record entry{m_next_number++, std::move(decision)};
    if (own.records.size() < m_capacity)
    {
        own.records.push_back(std::move(entry));
        return;
    }
    own.records[own.next] = std::move(entry);
    own.next = (own.next + 1) % m_capacity;
}

std::vector<core::decision_record>
decision_log::find(std::string_view subject) const
{
    std::vector<numbered_record> found;
    for (auto const& one : m_rings)
    {
        std::lock_guard const lock(one.mutex);
        std::copy_if(one.records.begin(),
                     one.records.end(),
                     std::back_inserter(found),
                     [subject](numbered_record const& entry)
                     { return entry.decision.subject == subject; });
    }
    std::sort(found.begin(),
              found.end(),
              [](numbered_record const& a, numbered_record const& b)
              { return a.number < b.number; });
    std::vector<core::decision_record> decisions;
    decisions.reserve(found.size());
    for (auto& entry : found)
    {
        decisions.push_back(std::move(entry.decision));
    }
    return decisions;
}

} // namespace turmericswitch::telemetry
