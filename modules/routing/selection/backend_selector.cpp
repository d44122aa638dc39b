#include "routing/selection/backend_selector.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::routing
{

namespace
{

// At most this share of a service's backend servers is excluded because of
// ejections.
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

// Returns the ejections within the allowed share. Beyond it, the backend
// servers due for a probe soonest count as not ejected.
std::set<core::backend_id> effective_ejections(service_routes const& service)
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
    std::set<core::backend_id> effective;
    for (auto const& [until, backend] : ejected)
    {
        effective.insert(backend);
    }
    return effective;
}

char const* exclusion_reason(backend_target const& target,
                             selection_query const& query)
{
    if (query.excluded.contains(target.entry.backend))
    {
        return "already tried";
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
               : "refused recently";
}

// Estimates from load and latency how long a new attempt would wait.
core::duration expected_wait(candidate const& backend)
{
    if (backend.load < backend.slots || backend.slots == 0)
    {
        return core::duration::zero();
    }
    return backend.latency * (backend.load - backend.slots + 1) / backend.slots;
}

core::result_code code_without_candidate(service_routes const& service,
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

// Candidates by tier, in order of preference.
struct backend_selector::tiers
{
    std::vector<candidate> probes;
    std::vector<candidate> same_zone;
    std::vector<candidate> same_region;
    std::vector<candidate> region_queue;
    std::vector<candidate> other_region;

    std::vector<candidate>* tier_for(candidate const& backend,
                                     backend_target const& target,
                                     selection_query const& query,
                                     bool ejected,
                                     bool admitted_by_ramp)
    {
        bool const starts_in_time = expected_wait(backend) < query.remaining;
        if (target.place.region != query.gateway.region)
        {
            return starts_in_time && !ejected ? &other_region : nullptr;
        }
        if (ejected)
        {
            return query.needs_free_slot ? nullptr : &probes;
        }
        if (query.needs_free_slot &&
            (backend.load >= backend.slots || !admitted_by_ramp))
        {
            return nullptr;
        }
        if (backend.load >= backend.slots || !admitted_by_ramp)
        {
            return starts_in_time ? &region_queue : nullptr;
        }
        return target.place.zone == query.gateway.zone ? &same_zone
                                                       : &same_region;
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
    auto const effective = effective_ejections(service);
    for (std::size_t i = 0; i < service.backends.size(); ++i)
    {
        auto const& target = service.backends[i];
        bool const ejected = effective.contains(target.entry.backend);
        auto const* reason = exclusion_reason(target, query);
        if (reason == nullptr && ejected &&
            !target.outlier->probe_due(query.now))
        {
            reason = "ejected";
        }
        candidate const backend{i,
                                target.load->estimated_load(query.now),
                                slots_of(service, target),
                                target.load->latency()};
        if (reason == nullptr &&
            target.load->outstanding() >=
                backend.slots + service.rule.queue_per_backend)
        {
            reason = "full";
        }
        bool const admitted_by_ramp =
            reason == nullptr &&
            core::random_below(random, 100) < target.ramp->percent(query.now);
        auto* const tier =
            reason == nullptr
                ? found.tier_for(
                      backend, target, query, ejected, admitted_by_ramp)
                : nullptr;
        if (tier == nullptr)
        {
            add_runner_up(
                record, target, reason ? reason : "would start too late");
            continue;
        }
        tier->push_back(backend);
    }
    return found;
}

selection backend_selector::choose(service_routes const& service,
                                   selection_query const& query,
                                   core::random_source const& random) const
{
    core::decision_record record;
    auto found = sort_into_tiers(service, query, random, record);
    // A due probe goes first: it costs one request, and only a successful
    // probe ends an ejection.
    std::pair<std::vector<candidate>*, char const*> const order[] = {
        {&found.probes, "probe"},
        {&found.same_zone, "same availability zone"},
        {&found.same_region, "same region"},
        {&found.region_queue, "queue in the region"}};
    for (auto const& [tier, reason] : order)
    {
        auto chosen = choose_from_tier(service, query, random, *tier, record);
        if (chosen.target != nullptr)
        {
            chosen.record.reasons.emplace_back(reason);
            return chosen;
        }
    }
    return choose_other_region(
        service, query, random, found.other_region, record);
}

selection
backend_selector::choose_other_region(service_routes const& service,
                                      selection_query const& query,
                                      core::random_source const& random,
                                      std::vector<candidate>& other_region,
                                      core::decision_record& record) const
{
    selection none;
    none.code = code_without_candidate(service, query);
    auto const rate = service.rule.region_bytes_per_second;
    if (other_region.empty() || !query.may_cross_region)
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
    auto chosen =
        choose_from_tier(service, query, random, other_region, record);
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

selection
backend_selector::choose_from_tier(service_routes const& service,
                                   selection_query const& query,
                                   core::random_source const& random,
                                   std::vector<candidate>& tier,
                                   core::decision_record& record) const
{
    while (!tier.empty())
    {
        auto const position = m_policy(tier, random);
        auto const backend = tier[position];
        tier.erase(tier.begin() + static_cast<std::ptrdiff_t>(position));
        auto const& target = service.backends[backend.index];
        bool const lost_probe = target.outlier->ejected() &&
                                target.outlier->probe_due(query.now) &&
                                !target.outlier->try_probe(query.now);
        if (lost_probe || !target.load->try_acquire(
                              backend.slots + service.rule.queue_per_backend))
        {
            add_runner_up(record, target, "taken by another request");
            continue;
        }
        for (auto const& other : tier)
        {
            add_runner_up(record, service.backends[other.index], "not chosen");
        }
        selection result;
        result.target = &target;
        result.record = std::move(record);
        return result;
    }
    return {};
}

} // namespace turmericswitch::routing
