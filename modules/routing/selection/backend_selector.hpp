#ifndef TURMERICSWITCH_ROUTING_SELECTION_BACKEND_SELECTOR_HPP
#define TURMERICSWITCH_ROUTING_SELECTION_BACKEND_SELECTOR_HPP

#include "core/decisions/decision_record.hpp"
#include "routing/selection/balancing_policy.hpp"
#include "routing/table/route_table.hpp"

#include <set>
#include <vector>

namespace turmericswitch::routing
{

/// What one attempt needs from a backend server.
struct selection_query
{
    core::time_point now;
    core::duration remaining{};
    core::location gateway;
    core::revision table_revision;
    /// Bytes that would cross the region link.
    core::byte_count body;
    /// False when the request has crossed the region link before.
    bool may_cross = true;
    /// True chooses only a free slot in the gateway's region.
    bool needs_free_slot = false;
    /// Backend servers that this request must not use.
    std::set<core::backend_id> excluded;
};

/// A chosen backend server with a place taken in its `backend_load`, or the
/// reason why there is none.
struct selection
{
    backend_target const* target = nullptr;
    bool crosses_region = false;
    core::result_code code = core::result_code::ok;
    core::decision_record record;
};

/// Chooses a backend server by locality and policy. Use it for each attempt;
/// it has no state of its own.
///
/// Order: a free slot in the gateway's availability zone; a free slot in its
/// region; a queue place in the region that is expected to start within the
/// deadline; another region within the byte budget.
class backend_selector
{
public:
    explicit backend_selector(balancing_policy policy);

    /// @param service Must stay alive while the selection is used.
    /// @return The selection. On success the caller owes `load->release()`, and
    /// the bytes that cross the region link are taken from the budget.
    selection choose(service_routes const& service,
                     selection_query const& query,
                     core::random_source const& random) const;

private:
    struct tiers;

    tiers sort_into_tiers(service_routes const& service,
                          selection_query const& query,
                          core::random_source const& random,
                          core::decision_record& record) const;

    selection choose_far(service_routes const& service,
                         selection_query const& query,
                         core::random_source const& random,
                         std::vector<candidate>& far,
                         core::decision_record& record) const;

    selection choose_in(service_routes const& service,
                        selection_query const& query,
                        core::random_source const& random,
                        std::vector<candidate>& tier,
                        core::decision_record& record) const;

    balancing_policy m_policy;
};

} // namespace turmericswitch::routing

#endif
