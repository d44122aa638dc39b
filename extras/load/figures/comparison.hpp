#ifndef TURMERICSWITCH_LOAD_FIGURES_COMPARISON_HPP
#define TURMERICSWITCH_LOAD_FIGURES_COMPARISON_HPP

#include "load/figures/report.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace turmericswitch::load
{

/// Reports of scenarios A and B from one round.
struct compared_round
{
    report a;
    report b;
};

/// Ratio B/A of one figure over the rounds in which both reports have it and
/// A is not 0.
struct figure_ratio
{
    std::string name;
    /// Rounds that gave a ratio.
    std::size_t rounds = 0;
    double lowest = 0;
    double median = 0;
    double highest = 0;
};

/// @return One entry for each figure of A in the first round.
std::vector<figure_ratio> compare(std::vector<compared_round> const& rounds);

std::string to_table(std::vector<figure_ratio> const& ratios);

/// @return {"ratios":{name:{"rounds":n,"lowest":x,"median":x,"highest":x}}}.
std::string to_json(std::vector<figure_ratio> const& ratios);

} // namespace turmericswitch::load

#endif
