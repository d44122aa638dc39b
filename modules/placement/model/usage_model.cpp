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
// Below this, tasks of other teams with the same kind are a better guide.
constexpr std::uint32_t min_team_tasks = 5;
// Tasks seen before batch may reserve fewer processors than declared.
constexpr std::uint32_t min_tasks_to_shrink = 10;
// Tasks that must have ended before batch may reserve less memory.
constexpr std::uint32_t min_finished_to_shrink = 8;
constexpr double shrunk_memory_margin = 1.2;
// Counts are halved at this number, so that old tasks lose weight.
constexpr std::uint32_t max_tasks = 400;
// 730 bytes each: 3 MB.
constexpr std::size_t max_entries = 4'096;

} // namespace

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
    auto const own = m_peaks.find({kind, team.value()});
    if (own != m_peaks.end())
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

void usage_model::halve(peaks& entry)
{
    for (auto* counts : {&entry.cpu, &entry.memory})
    {
        for (auto& count : *counts)
        {
            // Rounded up, so that a rare high peak is not forgotten first.
            count = static_cast<std::uint16_t>((count + 1) / 2);
        }
    }
    entry.tasks /= 2;
}

void usage_model::raise_peak(core::time_point now,
                             kind_index kind,
                             core::team_id const& team,
                             core::resources const& earlier,
                             core::resources const& peak)
{
    raise_entry(now, {kind, team.value()}, earlier, peak);
    if (!team.value().empty())
    {
        raise_entry(now, {kind, ""}, earlier, peak);
    }
}

void usage_model::raise_entry(core::time_point now,
                              key const& id,
                              core::resources const& earlier,
                              core::resources const& peak)
{
    if (m_peaks.size() >= max_entries && !m_peaks.contains(id))
    {
        auto const older = [](auto const& a, auto const& b)
        { return a.second.updated < b.second.updated; };
        m_peaks.erase(std::min_element(m_peaks.begin(), m_peaks.end(), older));
    }
    auto& entry = m_peaks[id];
    entry.updated = now;
    if (earlier == core::resources{} && ++entry.tasks > max_tasks)
    {
        halve(entry);
    }
    move(entry.cpu, earlier.cpu.value(), peak.cpu.value());
    move(entry.memory, earlier.memory.value(), peak.memory.value());
}

usage_model::peaks const*
usage_model::best_known(kind_index kind, core::team_id const& team) const
{
    auto const own = m_peaks.find({kind, team.value()});
    if (own != m_peaks.end() && own->second.tasks >= min_team_tasks)
    {
        return &own->second;
    }
    auto const all = m_peaks.find({kind, ""});
    return all == m_peaks.end() ? nullptr : &all->second;
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
    auto const with_margin = [](std::int64_t amount)
    { return static_cast<std::int64_t>(static_cast<double>(amount) * margin); };
    core::resources observed;
    observed.cpu =
        core::millicores(with_margin(quantile_of(known->cpu, high_quantile)));
    observed.memory = core::byte_count(
        with_margin(quantile_of(known->memory, high_quantile)));
    auto result = core::component_max(declared, observed);
    if (is_batch && known->tasks >= min_tasks_to_shrink)
    {
        result.cpu = core::millicores(quantile_of(known->cpu, middle_quantile));
    }
    auto const own = m_peaks.find({kind, team.value()});
    if (is_batch && own != m_peaks.end() &&
        own->second.finished >= min_finished_to_shrink)
    {
        auto const peak = static_cast<double>(highest(own->second.memory));
        result.memory = core::byte_count(
            static_cast<std::int64_t>(peak * shrunk_memory_margin));
    }
    return result;
}

std::size_t usage_model::size() const noexcept
{
    return m_peaks.size();
}

} // namespace turmericswitch::placement
