#include "workflow/dispatch/interference_model.hpp"

#include <algorithm>
#include <cmath>

namespace turmericswitch::workflow
{

namespace
{

/// Factor by which each new sample reduces the weight of the earlier ones.
/// About 200 samples count, which is ten seconds of a service with a few tasks.
constexpr double forgetting_factor = 0.995;

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

/// Bounds the variance of pairs that no longer run together, which forgetting
/// would increase without limit.
constexpr double max_variance = 2.0;

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

double interference_model::learn(std::string const& serving,
                                 double tail,
                                 std::vector<neighbour_use> const& neighbours)
{
    auto& known = m_estimates[serving];
    if (known.factors.empty())
    {
        add_dimension(known, initial_base_variance);
        known.factors.front() = initial_base;
    }
    for (auto const& each : neighbours)
    {
        index_of(known, each.image);
    }
    std::vector<double> input(known.factors.size(), 0.0);
    input.front() = 1;
    for (auto const& each : neighbours)
    {
        input[known.indices.at(each.image)] += each.share / use_unit;
    }

    auto const size = input.size();
    std::vector<double> unscaled_gain(size, 0.0);
    double predicted = 0;
    double innovation_variance = sample_variance;
    for (std::size_t i = 0; i < size; ++i)
    {
        for (std::size_t j = 0; j < size; ++j)
        {
            unscaled_gain[i] += known.covariance[i][j] * input[j];
        }
        predicted += known.factors[i] * input[i];
    }
    for (std::size_t i = 0; i < size; ++i)
    {
        innovation_variance += unscaled_gain[i] * input[i];
    }
    double const error = std::log(tail) - predicted;
    for (std::size_t i = 0; i < size; ++i)
    {
        known.factors[i] += unscaled_gain[i] / innovation_variance * error;
        for (std::size_t j = 0; j < size; ++j)
        {
            known.covariance[i][j] -=
                unscaled_gain[i] * unscaled_gain[j] / innovation_variance;
            if (known.covariance[i][i] < max_variance &&
                known.covariance[j][j] < max_variance)
            {
                known.covariance[i][j] /= forgetting_factor;
            }
        }
    }
    return error;
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
