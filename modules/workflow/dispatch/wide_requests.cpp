#include "workflow/dispatch/wide_requests.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace turmericswitch::workflow
{

namespace
{

/// A request counts as usual for one to two periods after it was last seen.
constexpr core::duration period = std::chrono::minutes(5);

bool is_larger(core::resources const& a, core::resources const& b)
{
    return std::pair(a.cpu, a.memory) > std::pair(b.cpu, b.memory);
}

bool fits_on_any(pending_stage const& stage,
                 core::resources const& need,
                 std::vector<candidate_worker*> const& candidates)
{
    return std::any_of(candidates.begin(),
                       candidates.end(),
                       [&](candidate_worker const* each)
                       {
                           return each->service == stage.service &&
                                  core::fits_in(need, each->capacity);
                       });
}

} // namespace

std::int64_t slots(core::resources const& request,
                   core::resources const& free) noexcept
{
    auto count = std::numeric_limits<std::int64_t>::max();
    auto const limit = [&count](std::int64_t need, std::int64_t available)
    {
        if (need > 0)
        {
            count =
                std::min(count, std::max<std::int64_t>(available, 0) / need);
        }
    };
    limit(request.cpu.value(), free.cpu.value());
    limit(request.memory.value(), free.memory.value());
    limit(request.accelerators.value(), free.accelerators.value());
    return request == core::resources{} ? 0 : count;
}

void wide_requests::observe(core::time_point now,
                            std::vector<pending_stage const*> const& waiting,
                            std::vector<candidate_worker*> const& candidates)
{
    if (now >= m_next_period)
    {
        m_next_period = now + period;
        m_previous = std::exchange(m_present, {});
    }
    for (auto const* const each : waiting)
    {
        if (each->description->behaviour.uses_spare_cpu)
        {
            continue;
        }
        auto const need = reserved_by(*each->description);
        auto const known = m_present.find(each->service);
        if ((known == m_present.end() || is_larger(need, known->second)) &&
            fits_on_any(*each, need, candidates))
        {
            m_present.insert_or_assign(each->service, need);
        }
    }
}

core::resources wide_requests::largest(core::service_id const& service) const
{
    core::resources result;
    for (auto const* const each : {&m_present, &m_previous})
    {
        auto const known = each->find(service);
        if (known != each->end() && is_larger(known->second, result))
        {
            result = known->second;
        }
    }
    return result;
}

std::int64_t fragmentation::index_percent() const noexcept
{
    constexpr std::int64_t percent = 100;
    return free.value() <= 0 || request.value() <= 0
               ? percent
               : usable.value() * percent / free.value();
}

void fragmentation::add(candidate_worker const& worker,
                        wide_requests const& wide)
{
    auto const largest = wide.largest(worker.service);
    auto const count = slots(largest, worker.free);
    free +=
        core::millicores(std::max<std::int64_t>(worker.free.cpu.value(), 0));
    usable += core::millicores(count * largest.cpu.value());
    request = std::max(request, largest.cpu);
}

} // namespace turmericswitch::workflow
