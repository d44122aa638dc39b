#include "workflow/dispatch/placement_obstacle.hpp"

namespace turmericswitch::workflow
{

std::string_view to_string(placement_obstacle obstacle)
{
    switch (obstacle)
    {
    case placement_obstacle::none:
        break;
    case placement_obstacle::no_worker:
        return "no_worker";
    case placement_obstacle::label:
        return "label";
    case placement_obstacle::max_per_worker:
        return "max_per_worker";
    case placement_obstacle::no_room:
        return "no_room";
    case placement_obstacle::no_spare_cpu:
        return "no_spare_cpu";
    case placement_obstacle::quarantine:
        return "quarantine";
    case placement_obstacle::serving_over_target:
        return "serving_over_target";
    case placement_obstacle::serving_tail:
        return "serving_tail";
    case placement_obstacle::isolated_worker:
        return "isolated_worker";
    case placement_obstacle::isolation:
        return "isolation";
    case placement_obstacle::isolation_limit:
        return "isolation_limit";
    case placement_obstacle::kept_room:
        return "kept_room";
    case placement_obstacle::faster_worker:
        return "faster_worker";
    case placement_obstacle::unresolved_start:
        return "unresolved_start";
    case placement_obstacle::gang:
        return "gang";
    case placement_obstacle::plan_limit:
        return "plan_limit";
    }
    return "none";
}

std::string to_string(obstacle_counts const& counts)
{
    std::string text;
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        if (counts.at(i) > 0)
        {
            text += text.empty() ? "" : ",";
            text += to_string(static_cast<placement_obstacle>(i));
            text += "=" + std::to_string(counts.at(i));
        }
    }
    return text;
}

} // namespace turmericswitch::workflow
