#include "placement/tests/placement_oracle.hpp"

#include <algorithm>
#include <stdexcept>

namespace turmericswitch::placement::testing
{

namespace
{

void require(bool holds, std::string const& what)
{
    if (!holds)
    {
        throw std::logic_error(what);
    }
}

} // namespace

void placement_oracle::check(tick_decisions const& decisions)
{
    for (auto const& command : decisions.batch.evictions)
    {
        check_evict(command);
    }
    for (auto const& command : decisions.batch.stops)
    {
        check_stop(command);
    }
    for (auto const& command : decisions.batch.placements)
    {
        check_place(command);
    }
    for (auto const& decision : decisions.throttles)
    {
        check_throttle(decision);
    }
}

core::resources placement_oracle::reserved_on(core::worker_id const& name) const
{
    core::resources sum;
    for (auto const& [job, item] : active)
    {
        sum += item.worker == name ? item.reserved : core::resources{};
    }
    return sum;
}

core::resources placement_oracle::charge(queued_job const& job,
                                         core::resources const& reserved) const
{
    for (auto const& rule : config.quotas)
    {
        if (rule.team == job.team)
        {
            return {std::min(reserved.cpu, rule.limit.cpu),
                    std::min(reserved.memory, rule.limit.memory),
                    std::min(reserved.accelerators, rule.limit.accelerators)};
        }
    }
    return reserved;
}

void placement_oracle::check_place(core::place_task const& command)
{
    auto const found = waiting.find(command.job);
    require(found != waiting.end(), "placed a job that does not wait");
    auto const job = found->second;
    require(command.attempt == job.next_attempt, "wrong attempt number");
    require(!active.contains(command.job), "placed twice");
    auto const host = workers.find(command.worker);
    require(host != workers.end() && host->second.schedulable,
            "placed on a worker that accepts no tasks");
    auto const& place = host->second.description.place;
    require(!zones_out.contains(place.zone), "placed in a zone out of service");
    require(core::fits_in(reserved_on(command.worker) + command.reserved,
                          host->second.description.capacity),
            "capacity exceeded");
    require(command.reserved.accelerators >= job.declared.accelerators,
            "fewer accelerators reserved than declared");
    check_rules(job, command.worker);
    task entry;
    entry.worker = command.worker;
    entry.attempt = command.attempt;
    entry.reserved = command.reserved;
    entry.charged = charge(job, command.reserved);
    core::resources team_sum = entry.charged;
    for (auto const& [id, other] : active)
    {
        bool const same = jobs.at(id).team == job.team;
        team_sum += same ? other.charged : core::resources{};
    }
    for (auto const& rule : config.quotas)
    {
        require(rule.team != job.team || core::fits_in(team_sum, rule.limit),
                "quota exceeded");
    }
    active[command.job] = entry;
    waiting.erase(command.job);
}

void placement_oracle::check_rules(queued_job const& job,
                                   core::worker_id const& name) const
{
    std::uint32_t same = 1;
    for (auto const& [id, other] : active)
    {
        if (other.worker != name)
        {
            continue;
        }
        auto const& kind = jobs.at(id).kind;
        same += kind == job.kind ? 1 : 0;
        for (auto const& rule : config.colocations)
        {
            bool const applies =
                (rule.first == kind && rule.second == job.kind) ||
                (rule.second == kind && rule.first == job.kind);
            require(!applies || rule.mode == core::colocation::may_share,
                    "never-share rule violated");
        }
    }
    for (auto const& rule : config.kind_limits)
    {
        require(rule.kind != job.kind || same <= rule.max_per_worker,
                "kind limit exceeded");
    }
}

void placement_oracle::check_evict(core::evict_task const& command)
{
    auto const found = active.find(command.job);
    require(found != active.end(), "evicted a job that does not run");
    require(!found->second.evicting, "evicted twice");
    require(found->second.attempt == command.attempt, "evicted an old attempt");
    found->second.evicting = true;
}

void placement_oracle::check_stop(core::stop_job const& command)
{
    require(waiting.contains(command.job), "stopped a job that does not wait");
    auto const& job = jobs.at(command.job);
    if (command.code == core::result_code::job_never_fits)
    {
        for (auto const& [name, item] : workers)
        {
            require(!core::fits_in(job.declared, item.description.capacity),
                    "refused a job that fits worker " + name.value());
        }
    }
    if (command.code == core::result_code::quota_exceeded)
    {
        bool const beyond =
            std::any_of(config.quotas.begin(),
                        config.quotas.end(),
                        [&](core::quota_rule const& rule) {
                            return rule.team == job.team &&
                                   !core::fits_in(job.declared, rule.limit);
                        });
        require(beyond, "refused a job that fits its quota");
    }
    waiting.erase(command.job);
}

void placement_oracle::check_throttle(throttle_decision const& decision) const
{
    auto const& order = decision.order;
    auto const found = active.find(order.job);
    require(found != active.end() && found->second.attempt == order.attempt,
            "throttled a job that does not run");
    require(jobs.at(order.job).priority == core::priority_class::batch,
            "throttled a job that is not batch");
    require(order.cpu_permille > 0 && order.cpu_permille <= 1000,
            "throttle out of range");
}

} // namespace turmericswitch::placement::testing
