#ifndef TURMERICSWITCH_LOAD_FIGURES_COMPARISON_HPP
#define TURMERICSWITCH_LOAD_FIGURES_COMPARISON_HPP

#include "load/figures/report.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace turmericswitch::load
{

/// Both measurements of one round.
struct compared_round
{
    report a;
    report b;
};

/// B/A of one figure over the rounds in which A was not 0.
struct figure_ratio
{
    std::string name;
    std::size_t rounds = 0;
    double lowest = 0;
    double median = 0;
    double highest = 0;
};

/// @return One row per figure of the first round's A.
std::vector<figure_ratio> compare(std::vector<compared_round> const& rounds);

std::string to_table(std::vector<figure_ratio> const& ratios);

/// @return {"ratios":{name:{"rounds":n,"lowest":x,"median":x,"highest":x}}}.
std::string to_json(std::vector<figure_ratio> const& ratios);

} // namespace turmericswitch::load

#endif
