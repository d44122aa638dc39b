#include "workflow/dispatch/worker_fleet.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// A worker's clock may be 2 % slow, so its lease may last 2 % longer on the
/// leader's clock.
constexpr std::int64_t slowest_clock_percent = 102;

/// Covers the rounding of the worker's clock to milliseconds and the delay of
/// its timers.
constexpr core::duration lease_margin = std::chrono::milliseconds(250);

/// An idle worker without reports for this long is removed from the view.
constexpr core::duration forget_after = std::chrono::minutes(1);

} // namespace

worker_fleet::worker_fleet(lease_policy policy,
                           core::duration recorded,
                           core::time_point elected)
    : m_policy(policy),
      m_longest_earlier(recorded > core::duration{} ? recorded
                                                    : policy.longest),
      m_elected(elected)
{
}

core::duration
worker_fleet::max_length_on_leader_clock(core::duration on_worker) const
{
    return on_worker * slowest_clock_percent / 100 + lease_margin;
}

core::time_point worker_fleet::earlier_leases_expire_at() const
{
    // Earlier leaders can't have granted a lease after the election.
    return m_elected + max_length_on_leader_clock(m_longest_earlier);
}

core::duration worker_fleet::length() const
{
    return std::min(m_policy.length, m_policy.longest);
}

core::duration worker_fleet::length_to_record(core::time_point now,
                                              core::duration recorded) const
{
    bool const is_longer = recorded > core::duration{} && length() > recorded;
    bool const is_due = is_longer || now > earlier_leases_expire_at();
    return recorded != length() && is_due ? length() : core::duration{};
}

worker_view* worker_fleet::report(core::time_point now,
                                  core::runtime_report report)
{
    auto const id = report.profile.worker;
    auto known = m_workers.find(id);
    if (known != m_workers.end() &&
        report.profile.life < known->second.profile.life)
    {
        return nullptr;
    }
    if (known == m_workers.end() ||
        known->second.profile.life != report.profile.life)
    {
        // Only one worker runs on an instance at a time, so earlier ones have
        // ended.
        for (auto& [other, view] : m_workers)
        {
            if (view.host == report.host &&
                view.profile.life < report.profile.life)
            {
                view.left = true;
            }
        }
        worker_view added;
        added.lease_expires_at = earlier_leases_expire_at();
        added.clock_changed_at = now;
        known = m_workers.insert_or_assign(id, std::move(added)).first;
    }
    auto& view = known->second;
    view.host = report.host;
    view.profile = std::move(report.profile);
    view.sidecar = report.sidecar;
    view.reported_at = now;
    if (view.clock != report.clock)
    {
        view.clock = report.clock;
        view.clock_changed_at = now;
    }
    view.left = view.left || report.left;
    view.refused = std::move(report.refused);
    if (report.runs)
    {
        view.has_runs = true;
        view.running.clear();
        for (auto& each : report.runs->running)
        {
            view.running.emplace(each.run, each);
        }
        view.ended = std::move(report.runs->ended);
    }
    return &view;
}

void worker_fleet::extend_lease(worker_view& worker,
                                core::duration recorded) const
{
    auto const granted =
        recorded > core::duration{} ? std::min(length(), recorded) : length();
    worker.granted_until =
        std::max(worker.granted_until, worker.clock + granted);
    // Counted from the first report with this reading: a sidecar repeats the
    // last clock of a worker that doesn't answer.
    worker.lease_expires_at =
        std::max(worker.lease_expires_at,
                 worker.clock_changed_at + max_length_on_leader_clock(granted));
}

worker_view* worker_fleet::find(core::worker_id const& worker)
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? nullptr : &known->second;
}

worker_view const* worker_fleet::find(core::worker_id const& worker) const
{
    auto const known = m_workers.find(worker);
    return known == m_workers.end() ? nullptr : &known->second;
}

std::map<core::worker_id, worker_view> const& worker_fleet::all() const noexcept
{
    return m_workers;
}

std::map<core::worker_id, worker_view>& worker_fleet::all() noexcept
{
    return m_workers;
}

bool worker_fleet::is_dead(core::time_point now,
                           core::worker_id const& worker,
                           core::incarnation life) const
{
    auto const* const view = find(worker);
    if (view == nullptr)
    {
        return now > earlier_leases_expire_at();
    }
    if (view->profile.life != life)
    {
        return life < view->profile.life;
    }
    return view->left || now > view->lease_expires_at;
}

void worker_fleet::prune(
    core::time_point now,
    std::function<bool(core::worker_id const&)> const& has_runs)
{
    std::erase_if(m_workers,
                  [&](auto const& item)
                  {
                      auto const& view = item.second;
                      bool const is_gone =
                          view.left || now - view.reported_at > forget_after;
                      return is_gone && !has_runs(item.first);
                  });
}

} // namespace turmericswitch::workflow
