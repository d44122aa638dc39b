#include "routing/selection/backend_selector.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::routing
{

namespace
{

// At most this share of a service is left out because of ejections.
constexpr std::size_t max_ejected_percent = 50;

std::uint32_t slots_of(service_routes const& service,
                       backend_target const& target)
{
    return std::min({target.entry.slots,
                     service.rule.slots_per_backend,
                     service.rule.connections_per_backend});
}

void add_runner_up(core::decision_record& record,
                   backend_target const& target,
                   char const* reason)
{
    record.runners_up.push_back({target.entry.backend.value(), reason});
}

// The ejections that the share allows; those probed soonest give way first.
std::set<core::backend_id> honoured_ejections(service_routes const& service)
{
    std::vector<std::pair<core::time_point, core::backend_id>> ejected;
    for (auto const& target : service.backends)
    {
        if (target.outlier->ejected())
        {
            ejected.emplace_back(target.outlier->next_probe(),
                                 target.entry.backend);
        }
    }
    std::sort(ejected.rbegin(), ejected.rend());
    auto const allowed = service.backends.size() * max_ejected_percent / 100;
    ejected.resize(std::min(ejected.size(), allowed));
    std::set<core::backend_id> honoured;
    for (auto const& [until, backend] : ejected)
    {
        honoured.insert(backend);
    }
    return honoured;
}

char const* reason_to_leave_out(backend_target const& target,
                                selection_query const& query)
{
    if (query.excluded.contains(target.entry.backend))
    {
        return "tried before";
    }
    if (target.leaving)
    {
        return "leaving";
    }
    if (target.zone_out)
    {
        return "availability zone out";
    }
    return target.load->usable_at(query.now, query.table_revision)
               ? nullptr
               : "refused lately";
}

// Time until a new attempt would start, from load and latency.
core::duration expected_wait(candidate const& one)
{
    if (one.load < one.slots || one.slots == 0)
    {
        return core::duration::zero();
    }
    return one.latency * (one.load - one.slots + 1) / one.slots;
}

core::result_code code_without_tier(service_routes const& service,
                                    selection_query const& query)
{
    if (service.backends.empty())
    {
        return core::result_code::no_route;
    }
    auto const all = [&](auto const& condition)
    {
        return std::all_of(
            service.backends.begin(), service.backends.end(), condition);
    };
    if (all([](auto const& target) { return target.zone_out; }))
    {
        return core::result_code::zone_out;
    }
    if (all([&](auto const& target)
            { return target.leaving || target.zone_out; }))
    {
        return core::result_code::draining;
    }
    return query.excluded.empty() ? core::result_code::no_capacity
                                  : core::result_code::not_run;
}

} // namespace

// The first four in order of preference.
struct backend_selector::tiers
{
    std::vector<candidate> probes;
    std::vector<candidate> zone;
    std::vector<candidate> region;
    std::vector<candidate> queue;
    std::vector<candidate> far;

    std::vector<candidate>* place(candidate const& one,
                                  backend_target const& target,
                                  selection_query const& query,
                                  bool ejected,
                                  bool ramped)
    {
        bool const starts_in_time = expected_wait(one) < query.remaining;
        if (target.place.region != query.gateway.region)
        {
            return starts_in_time && !ejected ? &far : nullptr;
        }
        if (ejected)
        {
            return query.needs_free_slot ? nullptr : &probes;
        }
        if (query.needs_free_slot && (one.load >= one.slots || !ramped))
        {
            return nullptr;
        }
        if (one.load >= one.slots || !ramped)
        {
            return starts_in_time ? &queue : nullptr;
        }
        return target.place.zone == query.gateway.zone ? &zone : &region;
    }
};

backend_selector::backend_selector(balancing_policy policy)
    : m_policy(std::move(policy))
{
}

backend_selector::tiers
backend_selector::sort_into_tiers(service_routes const& service,
                                  selection_query const& query,
                                  core::random_source const& random,
                                  core::decision_record& record) const
{
    tiers found;
    auto const honoured = honoured_ejections(service);
    for (std::size_t i = 0; i < service.backends.size(); ++i)
    {
        auto const& target = service.backends[i];
        bool const ejected = honoured.contains(target.entry.backend);
        auto const* reason = reason_to_leave_out(target, query);
        if (reason == nullptr && ejected &&
            !target.outlier->probe_due(query.now))
        {
            reason = "ejected";
        }
        candidate const one{i,
                            target.load->estimate(query.now),
                            slots_of(service, target),
                            target.load->latency()};
        if (reason == nullptr && target.load->outstanding() >=
                                     one.slots + service.rule.queue_per_backend)
        {
            reason = "full";
        }
        bool const ramped =
            reason == nullptr &&
            core::random_below(random, 100) < target.ramp->percent(query.now);
        auto* const tier =
            reason == nullptr ? found.place(one, target, query, ejected, ramped)
                              : nullptr;
        if (tier == nullptr)
        {
            add_runner_up(record, target, reason ? reason : "would start late");
            continue;
        }
        tier->push_back(one);
    }
    return found;
}

selection backend_selector::choose(service_routes const& service,
                                   selection_query const& query,
                                   core::random_source const& random) const
{
    core::decision_record record;
    auto found = sort_into_tiers(service, query, random, record);
    // A due probe goes first: it is one request, and an ejected backend
    // server can return no other way.
    std::pair<std::vector<candidate>*, char const*> const order[] = {
        {&found.probes, "probe"},
        {&found.zone, "same availability zone"},
        {&found.region, "same region"},
        {&found.queue, "queue in the region"}};
    for (auto const& [tier, reason] : order)
    {
        auto chosen = choose_in(service, query, random, *tier, record);
        if (chosen.target != nullptr)
        {
            chosen.record.reasons.emplace_back(reason);
            return chosen;
        }
    }
    return choose_far(service, query, random, found.far, record);
}

selection backend_selector::choose_far(service_routes const& service,
                                       selection_query const& query,
                                       core::random_source const& random,
                                       std::vector<candidate>& far,
                                       core::decision_record& record) const
{
    selection none;
    none.code = code_without_tier(service, query);
    auto const rate = service.rule.region_bytes_per_second;
    if (far.empty() || !query.may_cross)
    {
        none.record = std::move(record);
        return none;
    }
    if (!service.region_bytes->try_take(query.now, query.body, rate))
    {
        none.code = core::result_code::region_budget_empty;
        none.record = std::move(record);
        return none;
    }
    auto chosen = choose_in(service, query, random, far, record);
    if (chosen.target != nullptr)
    {
        chosen.crosses_region = true;
        chosen.record.reasons.emplace_back("other region");
        return chosen;
    }
    service.region_bytes->refund(query.body, rate);
    none.record = std::move(record);
    return none;
}

selection backend_selector::choose_in(service_routes const& service,
                                      selection_query const& query,
                                      core::random_source const& random,
                                      std::vector<candidate>& tier,
                                      core::decision_record& record) const
{
    while (!tier.empty())
    {
        auto const position = m_policy(tier, random);
        auto const one = tier[position];
        tier.erase(tier.begin() + static_cast<std::ptrdiff_t>(position));
        auto const& target = service.backends[one.index];
        bool const probe_lost = target.outlier->ejected() &&
                                target.outlier->probe_due(query.now) &&
                                !target.outlier->try_probe(query.now);
        if (probe_lost || !target.load->try_acquire(
                              one.slots + service.rule.queue_per_backend))
        {
            add_runner_up(record, target, "taken by another request");
            continue;
        }
        for (auto const& other : tier)
        {
            add_runner_up(record, service.backends[other.index], "not chosen");
        }
        selection made;
        made.target = &target;
        made.record = std::move(record);
        return made;
    }
    return {};
}

} // namespace turmericswitch::routing
