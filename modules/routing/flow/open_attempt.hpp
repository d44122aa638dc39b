#ifndef TURMERICSWITCH_ROUTING_FLOW_OPEN_ATTEMPT_HPP
#define TURMERICSWITCH_ROUTING_FLOW_OPEN_ATTEMPT_HPP

#include "routing/flow/flow_types.hpp"

namespace turmericswitch::routing
{

/// An attempt that a request waits for. Counts as outstanding in the
/// `backend_load` of its backend server until it is closed or destroyed.
class open_attempt
{
public:
    open_attempt() = default;
    ~open_attempt();

    open_attempt(open_attempt const&) = delete;
    open_attempt& operator=(open_attempt const&) = delete;

    /// Takes over the outstanding count that the selection acquired.
    void open(backend_target const& target, bool crosses_region);

    /// Releases the outstanding count. Does nothing when closed.
    void close() noexcept;

    /// Records a complete answer for outlier detection and latency.
    ///
    /// @param status HTTP status of the backend server.
    /// @return False when the status is a server error.
    bool record_status(core::time_point now, std::uint16_t status) noexcept;

    /// Records that another attempt answered first: as a failure for outlier
    /// detection, and with the time since the send as a lower bound of the
    /// latency.
    void record_overtaken(core::time_point now) noexcept;

    /// Excludes the backend server after a refusal because of draining or an
    /// availability zone out of service: until the route table has reached the
    /// sidecar's revision if that is newer, else for
    /// `flow_options::stale_route_pause`.
    void record_stale_route(core::time_point now,
                            core::revision sidecar_revision,
                            flow_options const& options) noexcept;

    core::attempt_id id;
    core::endpoint sidecar;
    core::backend_id backend;
    std::shared_ptr<backend_load> load;
    std::shared_ptr<outlier_tracker> outlier;
    core::time_point sent_at;
    /// `service_routes::last_changed` at the selection.
    core::revision service_revision;
    bool is_cross_region = false;
    /// Sent while another attempt was open.
    bool is_hedge = false;

private:
    bool m_open = false;
};

} // namespace turmericswitch::routing

#endif
