#ifndef TURMERICSWITCH_ROUTING_FLOW_OPEN_ATTEMPT_HPP
#define TURMERICSWITCH_ROUTING_FLOW_OPEN_ATTEMPT_HPP

#include "routing/flow/flow_types.hpp"

namespace turmericswitch::routing
{

/// An attempt that a request waits for. Holds a place in the load of its
/// backend server until it is closed or destroyed.
class open_attempt
{
public:
    open_attempt() = default;
    ~open_attempt();

    open_attempt(open_attempt const&) = delete;
    open_attempt& operator=(open_attempt const&) = delete;

    /// Takes over the place that the selection took.
    void open(backend_target const& target, bool crosses_region);

    /// Gives the place back; does nothing when closed.
    void close() noexcept;

    /// Records a whole answer for outlier detection and latency.
    ///
    /// @param status HTTP status of the backend server.
    /// @return False when the status is a server error.
    bool record_status(core::time_point now, std::uint16_t status) noexcept;

    /// Records that another attempt answered first. The latency is at least
    /// the time since the send.
    void record_overtaken(core::time_point now) noexcept;

    /// Keeps later requests away after a refusal for draining or an
    /// availability zone out: until the table has the sidecar's revision if
    /// that is newer, else for a short time.
    void note_route_change(core::time_point now,
                           core::revision in_force,
                           flow_options const& options) noexcept;

    core::attempt_id id;
    core::endpoint sidecar;
    core::backend_id backend;
    std::shared_ptr<backend_load> load;
    std::shared_ptr<outlier_tracker> outlier;
    core::time_point sent_at;
    core::revision service_revision;
    bool crossed = false;
    /// Opened beside another attempt.
    bool is_hedge = false;

private:
    bool m_open = false;
};

} // namespace turmericswitch::routing

#endif
