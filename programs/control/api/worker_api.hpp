#ifndef TURMERICSWITCH_CONTROL_API_WORKER_API_HPP
#define TURMERICSWITCH_CONTROL_API_WORKER_API_HPP

#include "node/control_node.hpp"
#include "web/web.hpp"

namespace turmericswitch::control
{

/// Serves the platform's workers: `POST /v1/workers/heartbeat`.
class worker_api
{
public:
    /// @param node Must outlive this object.
    explicit worker_api(control_node& node);

    /// Blocks until the heartbeat's reports are committed.
    web::http_response heartbeat(web::http_request const& request);

private:
    control_node& m_node;
};

/// @param leader The leader, if known.
/// @param target Path and query of the request.
/// @return Status 421, with the URL at the leader in the field `Location` if
/// the leader is known.
web::http_response misdirected(std::optional<core::group_member> const& leader,
                               std::string const& target);

} // namespace turmericswitch::control

#endif
