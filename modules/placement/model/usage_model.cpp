#include "placement/model/usage_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace turmericswitch::placement
{

namespace
{

constexpr double high_quantile = 0.95;
// Batch reserves the processors that its tasks use on average: what one of
// them lacks another one leaves, and a shortage only slows batch down.
constexpr double middle_quantile = 0.5;
constexpr double margin = 1.1;
// Batch may reserve less memory than declared, so its margin is wider.
constexpr double batch_memory_margin = 1.2;
// A use this far above the reservation may be inaccurate measurement.
constexpr double tolerance = 1.02;
// Below this, tasks of other teams with the same kind are a better guide.
constexpr std::uint32_t min_team_tasks = 5;
// Tasks seen before batch may reserve fewer processors than declared.
constexpr std::uint32_t min_tasks_to_shrink = 10;
// Tasks that must have ended before batch may reserve less memory.
constexpr std::uint32_t min_finished_to_shrink = 8;
// Counts are halved at this number, so that old tasks lose weight.
constexpr std::uint32_t max_tasks = 400;
// 760 bytes each: 3 MB.
constexpr std::size_t max_entries = 4'096;

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

/// @return The peak with margin, but not above a reservation that was enough.
std::int64_t
demand_of(std::int64_t peak, std::int64_t placed, double wanted_margin)
{
    auto const wanted = scaled(peak, wanted_margin);
    return usage_model::exceeds(peak, placed) ? wanted
                                              : std::min(wanted, placed);
}

} // namespace

bool usage_model::exceeds(std::int64_t used, std::int64_t reserved) noexcept
{
    return static_cast<double>(used) >
           static_cast<double>(reserved) * tolerance;
}

core::resources usage_model::demand(core::resources const& peak,
                                    core::resources const& placed,
                                    core::resources const& declared,
                                    bool is_batch)
{
    core::resources result;
    result.memory =
        core::byte_count(demand_of(peak.memory.value(),
                                   placed.memory.value(),
                                   is_batch ? batch_memory_margin : margin));
    if (!is_batch)
    {
        result.cpu = core::millicores(
            demand_of(peak.cpu.value(), placed.cpu.value(), margin));
        return result;
    }
    // Batch reserves an average, without margin. A task held to a reservation
    // below its declaration does not show how much less it would need.
    auto const least_held = scaled(placed.cpu.value(), 2 - tolerance);
    bool const held = peak.cpu.value() >= least_held &&
                      !exceeds(peak.cpu.value(), placed.cpu.value());
    result.cpu = held ? std::max(placed.cpu, declared.cpu) : peak.cpu;
    return result;
}

std::size_t usage_model::bucket_of(std::int64_t amount)
{
    if (amount <= 1)
    {
        return 0;
    }
    auto const position = std::ceil(std::log2(amount) * 4);
    return std::min(buckets - 1, static_cast<std::size_t>(position));
}

std::int64_t usage_model::upper_bound_of(std::size_t bucket)
{
    return static_cast<std::int64_t>(
        std::exp2(static_cast<double>(bucket) / 4));
}

std::int64_t usage_model::quantile_of(histogram const& counts, double share)
{
    auto const total = std::accumulate(counts.begin(), counts.end(), 0U);
    auto const above = static_cast<unsigned>(total * (1 - share));
    unsigned seen = 0;
    for (std::size_t bucket = buckets; bucket-- > 0;)
    {
        seen += counts[bucket];
        if (seen > above)
        {
            return upper_bound_of(bucket);
        }
    }
    return 0;
}

std::int64_t usage_model::highest(histogram const& counts)
{
    for (std::size_t bucket = buckets; bucket-- > 0;)
    {
        if (counts[bucket] > 0)
        {
            return upper_bound_of(bucket);
        }
    }
    return 0;
}

void usage_model::finished(kind_index kind, core::team_id const& team)
{
    auto const own = m_demands.find({kind, team.value()});
    if (own != m_demands.end())
    {
        ++own->second.finished;
    }
}

void usage_model::move(histogram& counts, std::int64_t from, std::int64_t to)
{
    if (from > 0 && counts[bucket_of(from)] > 0)
    {
        --counts[bucket_of(from)];
    }
    ++counts[bucket_of(to)];
}

void usage_model::halve(demands& entry)
{
    for (auto* counts : {&entry.cpu, &entry.memory})
    {
        for (auto& count : *counts)
        {
            // Rounded up, so that a rare high demand is not forgotten first.
            count = static_cast<std::uint16_t>((count + 1) / 2);
        }
    }
    entry.tasks /= 2;
}

void usage_model::change_demand(core::time_point now,
                                kind_index kind,
                                core::team_id const& team,
                                core::resources const& earlier,
                                core::resources const& demand)
{
    change_entry(now, {kind, team.value()}, earlier, demand);
    if (!team.value().empty())
    {
        change_entry(now, {kind, ""}, earlier, demand);
    }
}

void usage_model::change_entry(core::time_point now,
                               key const& id,
                               core::resources const& earlier,
                               core::resources const& demand)
{
    if (m_demands.size() >= max_entries && !m_demands.contains(id))
    {
        auto const older = [](auto const& a, auto const& b)
        { return a.second.updated < b.second.updated; };
        m_demands.erase(
            std::min_element(m_demands.begin(), m_demands.end(), older));
    }
    auto& entry = m_demands[id];
    entry.updated = now;
    if (earlier == core::resources{} && ++entry.tasks > max_tasks)
    {
        halve(entry);
    }
    move(entry.cpu, earlier.cpu.value(), demand.cpu.value());
    move(entry.memory, earlier.memory.value(), demand.memory.value());
    entry.highest = core::component_max(entry.highest, demand);
}

usage_model::demands const*
usage_model::best_known(kind_index kind, core::team_id const& team) const
{
    auto const own = m_demands.find({kind, team.value()});
    if (own != m_demands.end() && own->second.tasks >= min_team_tasks)
    {
        return &own->second;
    }
    auto const all = m_demands.find({kind, ""});
    return all == m_demands.end() ? nullptr : &all->second;
}

core::resources usage_model::reservation(kind_index kind,
                                         core::team_id const& team,
                                         core::resources const& declared,
                                         bool is_batch) const
{
    auto const* known = best_known(kind, team);
    if (known == nullptr)
    {
        return declared;
    }
    auto const cpu_at = [known](double share)
    {
        return std::min(core::millicores(quantile_of(known->cpu, share)),
                        known->highest.cpu);
    };
    core::resources observed;
    observed.cpu = cpu_at(high_quantile);
    observed.memory =
        std::min(core::byte_count(quantile_of(known->memory, high_quantile)),
                 known->highest.memory);
    auto result = core::component_max(declared, observed);
    if (is_batch && known->tasks >= min_tasks_to_shrink)
    {
        result.cpu = cpu_at(middle_quantile);
    }
    auto const own = m_demands.find({kind, team.value()});
    if (is_batch && own != m_demands.end() &&
        own->second.finished >= min_finished_to_shrink)
    {
        result.memory = std::min(core::byte_count(highest(own->second.memory)),
                                 own->second.highest.memory);
    }
    return result;
}

std::size_t usage_model::size() const noexcept
{
    return m_demands.size();
}

} // namespace turmericswitch::placement
