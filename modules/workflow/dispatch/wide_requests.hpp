#ifndef TURMERICSWITCH_WORKFLOW_DISPATCH_WIDE_REQUESTS_HPP
#define TURMERICSWITCH_WORKFLOW_DISPATCH_WIDE_REQUESTS_HPP

#include "core/messages/workflow.hpp"
#include "workflow/dispatch/candidate_worker.hpp"
#include "workflow/dispatch/pending_stage.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace turmericswitch::workflow
{

/// @return Number of tasks with this request that the free capacity can take;
///         0 for an empty request.
std::int64_t slots(core::resources const& request,
                   core::resources const& free) noexcept;

/// The largest request of each service that waits or has waited recently.
///
/// It is not replicated: a new leader sees the waiting requests at once and
/// the usual ones when they come again.
class wide_requests
{
public:
    /// @param candidates Requests that fit on none of them, even if it is
    /// empty,
    ///        do not count.
    void observe(core::time_point now,
                 std::vector<pending_stage const*> const& waiting,
                 std::vector<candidate_worker*> const& candidates);

    /// @return The largest request; an empty one if none is known.
    core::resources largest(core::service_id const& service) const;

private:
    using requests = std::map<core::service_id, core::resources>;

    /// Requests of the present and of the previous period.
    requests m_present;
    requests m_previous;
    core::time_point m_next_period;
};

/// How much of the free capacity can take the largest request of its service.
struct fragmentation
{
    core::millicores free;
    /// The part of `free` that can take whole requests.
    core::millicores usable;
    /// The largest request of all services.
    core::millicores request;

    /// @return `usable` in percent of `free`; 100 if nothing is free or no
    ///         request is known.
    std::int64_t index_percent() const noexcept;

    void add(candidate_worker const& worker, wide_requests const& wide);
};

} // namespace turmericswitch::workflow

#endif
