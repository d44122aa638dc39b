#include "placement/model/interference_model.hpp"

#include <algorithm>
#include <cmath>

namespace turmericswitch::placement
{

namespace
{

// Excess slowdown expected from an unknown kind that fills a worker. It is set
// high because a few reports are enough to learn that a pair is harmless.
constexpr double prior_excess = 0.6;
constexpr double prior_variance = 1.0;
// Measurement noise of one report; damps single outliers.
constexpr double noise_variance = 0.02;
// Growth of the variance per second; after an hour new measurements change a
// weight quickly again.
constexpr double drift_per_second = 0.0002;
constexpr double max_excess = 20.0;
// 48 bytes each; far above the 10,000 ordered pairs of 100 kinds in use.
constexpr std::size_t max_weights = 32'768;
constexpr double light_load = 0.4;
constexpr double heavy_load = 0.75;

std::uint64_t load_band(double load)
{
    if (load < light_load)
    {
        return 0;
    }
    return load < heavy_load ? 1 : 2;
}

double variance_after(double variance, core::duration age)
{
    double const seconds = static_cast<double>(age.count()) / 1e6;
    double const gain = drift_per_second * std::max(0.0, seconds);
    return std::min(prior_variance, variance + gain);
}

} // namespace

std::uint64_t
interference_model::key(kind_index victim, kind_index aggressor, double load)
{
    std::uint64_t const pair = (std::uint64_t{victim} << 31) | aggressor;
    return (pair << 2) | load_band(load);
}

double interference_model::contribution(kind_index victim,
                                        kind_index aggressor,
                                        double share,
                                        double load) const
{
    auto const found = m_weights.find(key(victim, aggressor, load));
    double const value =
        found == m_weights.end() ? prior_excess : found->second.value;
    return value * share;
}

void interference_model::learn(core::time_point measured_at,
                               kind_index victim,
                               std::vector<occupant> const& others,
                               double load,
                               double slowdown)
{
    std::vector<std::pair<kind_index, double>> shares;
    for (auto const& other : others)
    {
        auto const same = [&](auto const& item)
        { return item.first == other.kind; };
        auto const found = std::find_if(shares.begin(), shares.end(), same);
        if (found == shares.end())
        {
            shares.emplace_back(other.kind, other.share);
        }
        else
        {
            found->second += other.share;
        }
    }
    double predicted = 0;
    double total = noise_variance;
    for (auto const& [kind, share] : shares)
    {
        auto const& known = entry(key(victim, kind, load), measured_at);
        predicted += known.value * share;
        total += known.variance * share * share;
    }
    double const error = slowdown - 1.0 - predicted;
    for (auto const& [kind, share] : shares)
    {
        auto& known = entry(key(victim, kind, load), measured_at);
        double const gain = known.variance * share / total;
        known.value = std::clamp(known.value + gain * error, 0.0, max_excess);
        known.variance *= 1.0 - gain * share;
    }
}

double interference_model::confidence(core::time_point now,
                                      kind_index victim,
                                      kind_index aggressor,
                                      double load) const
{
    auto const found = m_weights.find(key(victim, aggressor, load));
    if (found == m_weights.end())
    {
        return 0;
    }
    auto const& known = found->second;
    return 1.0 -
           variance_after(known.variance, now - known.updated) / prior_variance;
}

std::size_t interference_model::size() const noexcept
{
    return m_weights.size();
}

interference_model::weight& interference_model::entry(std::uint64_t id,
                                                      core::time_point now)
{
    auto found = m_weights.find(id);
    if (found == m_weights.end())
    {
        if (m_weights.size() >= max_weights)
        {
            drop_oldest();
        }
        weight const initial{prior_excess, prior_variance, now};
        found = m_weights.emplace(id, initial).first;
    }
    auto& known = found->second;
    known.variance = variance_after(known.variance, now - known.updated);
    known.updated = std::max(known.updated, now);
    return known;
}

void interference_model::drop_oldest()
{
    auto const older = [](auto const& a, auto const& b)
    {
        auto const& [key_a, weight_a] = a;
        auto const& [key_b, weight_b] = b;
        return std::tie(weight_a.updated, key_a) <
               std::tie(weight_b.updated, key_b);
    };
    m_weights.erase(
        std::min_element(m_weights.begin(), m_weights.end(), older));
}

} // namespace turmericswitch::placement
