#include "shared/control_link/leader_watch.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace turmericswitch::shared
{

namespace
{

/// Bounds of the time for which an instance holds a call. An idle call costs
/// about 200 bytes each time that it is renewed.
constexpr core::duration shortest_hold = std::chrono::seconds(50);
constexpr core::duration longest_hold = std::chrono::seconds(70);
/// Least time between two calls to one instance, so that an instance that
/// answers at once is not called in a tight loop.
constexpr core::duration least_interval = std::chrono::milliseconds(500);
constexpr core::duration backoff_base = std::chrono::milliseconds(250);
/// An instance that restarts is watched again within this time, before it is
/// likely to be elected.
constexpr core::duration backoff_cap = std::chrono::seconds(4);
/// An instance is updated by a restart, which ends its connection but not the
/// wait for the next call.
constexpr core::duration old_release_pause = std::chrono::minutes(1);

core::duration random_up_to(core::random_source const& random,
                            core::duration limit)
{
    return core::full_jitter(random, limit, limit, 0);
}

} // namespace

leader_watch::leader_watch(core::random_source random)
    : m_random(std::move(random))
{
}

void leader_watch::set_members(core::time_point now,
                               std::vector<core::endpoint> const& members)
{
    std::vector<watched_member> kept;
    for (auto const& where : members)
    {
        auto const known = std::find_if(m_members.begin(),
                                        m_members.end(),
                                        [&where](watched_member const& each)
                                        { return each.where == where; });
        kept.push_back(known != m_members.end()
                           ? *known
                           : watched_member{where, now, {}, 0, false});
    }
    m_members = std::move(kept);
}

std::vector<leader_watch_call> leader_watch::take_due(core::time_point now)
{
    std::vector<leader_watch_call> due;
    for (auto& each : m_members)
    {
        if (!each.is_open && now >= each.due)
        {
            each.is_open = true;
            each.begun = now;
            due.push_back(
                {each.where,
                 {m_known,
                  shortest_hold +
                      random_up_to(m_random, longest_hold - shortest_hold)}});
        }
    }
    return due;
}

std::optional<core::time_point> leader_watch::next_due() const
{
    std::optional<core::time_point> next;
    for (auto const& each : m_members)
    {
        if (!each.is_open)
        {
            next = next ? std::min(*next, each.due) : each.due;
        }
    }
    return next;
}

leader_watch::watched_member*
leader_watch::find_open(core::endpoint const& where)
{
    auto const found =
        std::find_if(m_members.begin(),
                     m_members.end(),
                     [&where](watched_member const& each)
                     { return each.is_open && each.where == where; });
    return found == m_members.end() ? nullptr : &*found;
}

std::optional<leader_announcement>
leader_watch::answered(core::time_point now,
                       core::endpoint const& member,
                       core::leader_watch_answer const& answer)
{
    auto* const found = find_open(member);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    found->is_open = false;
    found->failures = 0;
    found->due = std::max(now, found->begun + least_interval);
    if (answer.code != core::result_code::ok || answer.leader_term <= m_known)
    {
        return std::nullopt;
    }
    m_known = answer.leader_term;
    return leader_announcement{
        member,
        answer.leader_term,
        random_up_to(m_random,
                     std::max(answer.report_within, core::duration{}))};
}

void leader_watch::failed(core::time_point now,
                          core::endpoint const& member,
                          core::result_code code)
{
    auto* const found = find_open(member);
    if (found == nullptr)
    {
        return;
    }
    found->is_open = false;
    if (code == core::result_code::unknown_path)
    {
        found->due = now + old_release_pause;
        return;
    }
    auto const pause = core::full_jitter(
        m_random, backoff_base, backoff_cap, found->failures++);
    found->due = std::max(now + pause, found->begun + least_interval);
}

} // namespace turmericswitch::shared
