#include "placement/model/usage_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace turmericswitch::placement
{

namespace
{

constexpr double high_quantile = 0.95;
// Batch reserves the processors that its tasks typically use: a task above the
// median is balanced by one below, and a shortage only slows batch down.
constexpr double median = 0.5;
constexpr double margin = 1.1;
// Wider than `margin`, because batch may reserve less memory than declared.
constexpr double batch_memory_margin = 1.2;
// Measured use may exceed a reservation by this factor through measurement
// error alone.
constexpr double measurement_tolerance = 1.02;
// With fewer tasks of a team, the tasks of all teams of the kind are used.
constexpr std::uint32_t min_team_tasks = 5;
// Tasks to see before batch may reserve fewer processors than declared.
constexpr std::uint32_t min_tasks_to_shrink = 10;
// Tasks that must have finished before batch may reserve less memory.
constexpr std::uint32_t min_finished_to_shrink = 8;
// Counts are halved above this number, so that old tasks lose weight.
constexpr std::uint32_t max_tasks = 400;
// 760 bytes each, 3 MB in total.
constexpr std::size_t max_entries = 4'096;

std::int64_t scaled(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(static_cast<double>(amount) * factor);
}

/// @return The peak with margin, but no more than a reservation that was
/// sufficient.
std::int64_t demand_of(std::int64_t peak,
                       std::int64_t initial_reservation,
                       double wanted_margin)
{
    auto const wanted = scaled(peak, wanted_margin);
    return usage_model::exceeds(peak, initial_reservation)
               ? wanted
               : std::min(wanted, initial_reservation);
}

} // namespace

bool usage_model::exceeds(std::int64_t used, std::int64_t reserved) noexcept
{
    return static_cast<double>(used) >
           static_cast<double>(reserved) * measurement_tolerance;
}

core::resources usage_model::demand(core::resources const& peak,
                                    core::resources const& initial_reservation,
                                    core::resources const& declared,
                                    bool is_batch)
{
    core::resources result;
    result.memory =
        core::byte_count(demand_of(peak.memory.value(),
                                   initial_reservation.memory.value(),
                                   is_batch ? batch_memory_margin : margin));
    if (!is_batch)
    {
        result.cpu = core::millicores(demand_of(
            peak.cpu.value(), initial_reservation.cpu.value(), margin));
        return result;
    }
    // Batch reserves an average, without margin. The use of a task that is
    // limited by its reservation does not show how much it needs.
    auto const min_limited_use =
        scaled(initial_reservation.cpu.value(), 2 - measurement_tolerance);
    bool const limited =
        peak.cpu.value() >= min_limited_use &&
        !exceeds(peak.cpu.value(), initial_reservation.cpu.value());
    result.cpu =
        limited ? std::max(initial_reservation.cpu, declared.cpu) : peak.cpu;
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

void usage_model::halve(demand_histograms& entry)
{
    for (auto* counts : {&entry.cpu, &entry.memory})
    {
        for (auto& count : *counts)
        {
            // Rounded up, so that a rare high demand is not lost first.
            count = static_cast<std::uint16_t>((count + 1) / 2);
        }
    }
    entry.tasks /= 2;
}

void usage_model::update_demand(core::time_point now,
                                kind_index kind,
                                core::team_id const& team,
                                core::resources const& earlier,
                                core::resources const& demand)
{
    update_entry(now, {kind, team.value()}, earlier, demand);
    if (!team.value().empty())
    {
        update_entry(now, {kind, ""}, earlier, demand);
    }
}

void usage_model::update_entry(core::time_point now,
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

usage_model::demand_histograms const*
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
        result.cpu = cpu_at(median);
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
