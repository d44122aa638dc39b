#include "placement/types/planner_options.hpp"

#include <utility>

namespace turmericswitch::placement
{

namespace
{

planner_options baseline_options()
{
    planner_options options;
    options.learn_sizes = false;
    options.avoid_interference = false;
    options.spread_services = false;
    options.gradual_evacuation = false;
    return options;
}

} // namespace

planner_options first_fit_options()
{
    auto options = baseline_options();
    options.candidates = 1;
    options.choose = [](std::vector<candidate> const&)
    { return std::size_t{0}; };
    return options;
}

planner_options random_feasible_options(core::random_source random)
{
    auto options = baseline_options();
    options.candidates = 0;
    options.choose = [random = std::move(random)](
                         std::vector<candidate> const& all) {
        return static_cast<std::size_t>(core::random_below(random, all.size()));
    };
    return options;
}

} // namespace turmericswitch::placement
