#ifndef TURMERICSWITCH_PLACEMENT_MODEL_RUN_TIME_MODEL_HPP
#define TURMERICSWITCH_PLACEMENT_MODEL_RUN_TIME_MODEL_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "placement/model/interference_model.hpp"

#include <map>
#include <utility>

namespace turmericswitch::placement
{

/// Learns the ratio of actual to declared run time per kind and team, to
/// estimate when a job must start to meet its deadline.
class run_time_model
{
public:
    void finished(kind_index kind,
                  core::team_id const& team,
                  core::duration declared,
                  core::duration actual);

    /// @return The declared time times the learned factor.
    core::duration estimate(kind_index kind,
                            core::team_id const& team,
                            core::duration declared) const;

private:
    std::map<std::pair<kind_index, core::team_id>, double> m_factors;
};

} // namespace turmericswitch::placement

#endif
