#include "workflow/dispatch/interference_model.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace turmericswitch::workflow
{

namespace
{

/// Variance that each estimate gains per second, because the load mix of an
/// image changes within minutes.
constexpr double drift_variance_per_s = 0.0005;

/// Variance of a sample around the prediction. It is this large because changes
/// in load move tails too.
constexpr double sample_variance = 0.2;

/// Prior before the first sample: a tail at a third of its target, and a small
/// effect for each tenth of a worker's CPU.
constexpr double initial_base = -1.2;
constexpr double initial_base_variance = 1.0;
constexpr double initial_factor_variance = 0.3;

/// Factor of a pair without samples. It lets one or two tasks of an unknown
/// image start beside a serving task, but not a whole stage.
constexpr double unknown_factor = 0.4;

/// A factor with a smaller variance is trusted.
constexpr double trusted_variance = 0.1;

/// Unit of a neighbour's use: a tenth of the worker's CPU.
constexpr double use_unit = 0.1;

} // namespace

void interference_model::add_dimension(estimate& known, double variance)
{
    for (auto& row : known.covariance)
    {
        row.push_back(0);
    }
    known.factors.push_back(0);
    known.covariance.emplace_back(known.factors.size(), 0.0);
    known.covariance.back().back() = variance;
}

std::size_t interference_model::index_of(estimate& known,
                                         std::string const& image)
{
    auto const [found, is_new] =
        known.indices.try_emplace(image, known.factors.size());
    if (is_new)
    {
        add_dimension(known, initial_factor_variance);
        known.factors.back() = unknown_factor;
    }
    return found->second;
}

void interference_model::add_drift(core::time_point now, estimate& known)
{
    auto const seconds =
        std::chrono::duration<double>(now - known.updated).count();
    known.updated = now;
    for (std::size_t i = 0; i < known.factors.size(); ++i)
    {
        // An estimate never becomes less certain than without any sample.
        auto const initial =
            i == 0 ? initial_base_variance : initial_factor_variance;
        auto& variance = known.covariance[i][i];
        if (variance < initial)
        {
            variance =
                std::min(variance + drift_variance_per_s * seconds, initial);
        }
    }
}

double interference_model::correct(estimate& known,
                                   indexed_uses const& input,
                                   double observed)
{
    auto const size = known.factors.size();
    std::vector<double> unscaled_gain(size, 0.0);
    double predicted = 0;
    double innovation_variance = sample_variance;
    for (auto const& [index, use] : input)
    {
        predicted += known.factors[index] * use;
        for (std::size_t i = 0; i < size; ++i)
        {
            unscaled_gain[i] += known.covariance[i][index] * use;
        }
    }
    for (auto const& [index, use] : input)
    {
        innovation_variance += unscaled_gain[index] * use;
    }
    double const error = observed - predicted;
    for (std::size_t i = 0; i < size; ++i)
    {
        auto const gain = unscaled_gain[i] / innovation_variance;
        known.factors[i] += gain * error;
        for (std::size_t j = 0; j < size; ++j)
        {
            known.covariance[i][j] -= gain * unscaled_gain[j];
        }
    }
    return error;
}

double interference_model::learn(core::time_point now,
                                 std::string const& serving,
                                 double tail,
                                 std::vector<neighbour_use> const& neighbours)
{
    auto const [found, is_new] = m_estimates.try_emplace(serving);
    auto& known = found->second;
    if (is_new)
    {
        known.updated = now;
        add_dimension(known, initial_base_variance);
        known.factors.front() = initial_base;
    }
    // The base has index 0 and applies in full to each sample.
    indexed_uses input{{0, 1.0}};
    for (auto const& each : neighbours)
    {
        input.emplace_back(index_of(known, each.image), each.share / use_unit);
        if (each.share > 0)
        {
            known.sampled[each.image] = now;
        }
    }
    add_drift(now, known);
    return correct(known, input, std::log(tail));
}

double interference_model::effect(std::string const& serving,
                                  neighbour_use const& neighbour) const
{
    auto const use = neighbour.share / use_unit;
    auto const known = m_estimates.find(serving);
    if (known == m_estimates.end())
    {
        return unknown_factor * use;
    }
    auto const position = known->second.indices.find(neighbour.image);
    if (position == known->second.indices.end())
    {
        return unknown_factor * use;
    }
    auto const factor = known->second.factors[position->second];
    return std::max(factor, 0.0) * use;
}

std::optional<core::time_point>
interference_model::last_sample(std::string const& serving,
                                std::string const& neighbour) const
{
    auto const known = m_estimates.find(serving);
    if (known == m_estimates.end())
    {
        return std::nullopt;
    }
    auto const sampled = known->second.sampled.find(neighbour);
    return sampled == known->second.sampled.end()
               ? std::nullopt
               : std::optional(sampled->second);
}

bool interference_model::is_known(std::string const& serving,
                                  std::string const& neighbour) const
{
    auto const known = m_estimates.find(serving);
    if (known == m_estimates.end())
    {
        return false;
    }
    auto const position = known->second.indices.find(neighbour);
    return position != known->second.indices.end() &&
           known->second.covariance[position->second][position->second] <
               trusted_variance;
}

} // namespace turmericswitch::workflow
