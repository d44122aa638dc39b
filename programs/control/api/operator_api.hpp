#ifndef TURMERICSWITCH_CONTROL_API_OPERATOR_API_HPP
#define TURMERICSWITCH_CONTROL_API_OPERATOR_API_HPP

#include "node/control_node.hpp"
#include "web/web.hpp"

#include <functional>
#include <vector>

namespace turmericswitch::control
{

/// The HTTP interface for operators and job owners, with JSON bodies.
///
/// The body of a write has an `operation`, any text that is unique per
/// operation; the same operation sent again gets its first reply. Reads are
/// answered only by the leader after a read-index round, so they are never
/// stale, except `/v1/local-status` and `/v1/explain`, which any instance
/// answers from its own data.
class operator_api
{
public:
    /// @param node Must outlive this object.
    explicit operator_api(control_node& node);

    /// @return One route per method and path.
    std::vector<web::route> routes();

private:
    using reader = std::function<web::http_response()>;

    web::http_response read(web::http_request const& request, reader build);
    web::http_response write(web::http_request const& request,
                             core::client_id client,
                             core::command_body body);

    web::http_response apply_rules(web::http_request const& request);
    web::http_response set_zone(web::http_request const& request,
                                std::string const& zone,
                                core::zone_state state);
    web::http_response set_drain(web::http_request const& request,
                                 std::string const& backend);
    web::http_response submit(web::http_request const& request);
    web::http_response cancel(web::http_request const& request);
    web::http_response list_jobs(web::http_request const& request);
    web::http_response show_job(web::http_request const& request,
                                std::string const& id);
    web::http_response change_members(web::http_request const& request);
    web::http_response local_status();

    control_node& m_node;
};

} // namespace turmericswitch::control

#endif
