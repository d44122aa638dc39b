#include "overload/admit/admission_control.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::overload
{

namespace
{

constexpr core::duration min_retry = std::chrono::seconds(1);

/// A caller should learn of an earlier improvement within this time.
constexpr core::duration max_retry = std::chrono::minutes(5);

/// Smallest range of the random part.
constexpr core::duration min_spread = std::chrono::seconds(2);

constexpr core::duration cleaning_interval = std::chrono::seconds(1);

} // namespace

admission_control::admission_control(core::random_source random)
    : m_random(std::move(random))
{
}

void admission_control::forget_old(core::time_point now)
{
    if (now < m_next_cleaning)
    {
        return;
    }
    m_next_cleaning = now + cleaning_interval;
    std::erase_if(m_refused,
                  [now](auto const& item)
                  { return now - item.second.at >= refusal_memory; });
}

admission_decision admission_control::decide(job_account const& job,
                                             accepted_work const& accepted,
                                             core::time_point now,
                                             value_terms const& terms)
{
    forget_old(now);
    if (auto const known = m_refused.find(job.job);
        known != m_refused.end() && now - known->second.at < refusal_memory)
    {
        auto again = known->second.decision;
        again.is_repeated = true;
        again.retry_after =
            std::max(again.retry_after - (now - known->second.at), min_retry);
        return again;
    }
    admission_decision decision;
    bool has_queue_work = false;
    for (auto const& each : accepted.accounts)
    {
        has_queue_work = has_queue_work || each.address == job.address;
        decision.work_ahead +=
            each.pool == job.pool ? each.remaining_work : 0.0;
    }
    auto const capacity = accepted.capacities.find(job.pool);
    if (!has_queue_work || decision.work_ahead <= 0 ||
        capacity == accepted.capacities.end() || capacity->second <= 0)
    {
        return decision;
    }
    auto with = accepted.accounts;
    with.push_back(job);
    auto const ranks = rank_jobs(with, accepted.capacities, now, terms);
    auto const& rank = ranks.at(job.job);
    decision.expected_end = rank.expected_end;
    decision.is_accepted = rank.expected != prospect::hopeless;
    if (decision.is_accepted)
    {
        return decision;
    }
    auto const excess = std::clamp<core::duration>(
        rank.expected_end - latest_useful_time(job), min_retry, max_retry);
    auto const spread = std::max<core::duration>(excess / 2, min_spread);
    decision.retry_after =
        excess +
        core::duration(static_cast<core::duration::rep>(core::random_below(
            m_random, static_cast<std::uint64_t>(spread.count()))));
    m_refused[job.job] = {now, decision};
    return decision;
}

} // namespace turmericswitch::overload
