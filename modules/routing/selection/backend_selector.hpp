#ifndef TURMERICSWITCH_ROUTING_SELECTION_BACKEND_SELECTOR_HPP
#define TURMERICSWITCH_ROUTING_SELECTION_BACKEND_SELECTOR_HPP

#include "core/decisions/decision_record.hpp"
#include "routing/selection/balancing_policy.hpp"
#include "routing/table/route_table.hpp"

#include <set>
#include <vector>

namespace turmericswitch::routing
{

/// Requirements of one attempt.
struct selection_query
{
    core::time_point now;
    /// Time until the deadline of the request.
    core::duration remaining{};
    /// Location of the gateway.
    core::location gateway;
    core::revision table_revision;
    /// Bytes that the attempt would send over the region link.
    core::byte_count body;
    /// False when the request has already crossed the region link.
    bool may_cross_region = true;
    /// True allows only a free slot in the gateway's region.
    bool needs_free_slot = false;
    /// Backend servers that this request must not use.
    std::set<core::backend_id> excluded;
};

/// A chosen backend server, counted as outstanding in its `backend_load`, or
/// the reason why there is none.
struct selection
{
    backend_target const* target = nullptr;
    bool crosses_region = false;
    core::result_code code = core::result_code::ok;
    core::decision_record record;
};

/// Chooses a backend server for each attempt, by locality and then by the load
/// balancing policy. Stateless.
///
/// Order: an ejected backend server that is due for a probe; a free slot in
/// the gateway's availability zone; a free slot in its region; a queue place
/// in the region that is expected to start before the deadline; another region
/// within the byte budget.
class backend_selector
{
public:
    explicit backend_selector(balancing_policy policy);

    /// @param service Must outlive the selection.
    /// @return The selection. On success, the caller must call `release` on the
    /// target's load, and bytes for the region link have been taken from the
    /// budget.
    selection choose(service_routes const& service,
                     selection_query const& query,
                     core::random_source const& random) const;

private:
    struct tiers;

    tiers sort_into_tiers(service_routes const& service,
                          selection_query const& query,
                          core::random_source const& random,
                          core::decision_record& record) const;

    selection choose_other_region(service_routes const& service,
                                  selection_query const& query,
                                  core::random_source const& random,
                                  std::vector<candidate>& other_region,
                                  core::decision_record& record) const;

    selection choose_from_tier(service_routes const& service,
                               selection_query const& query,
                               core::random_source const& random,
                               std::vector<candidate>& tier,
                               core::decision_record& record) const;

    balancing_policy m_policy;
};

} // namespace turmericswitch::routing

#endif
