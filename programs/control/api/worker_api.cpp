#include "api/worker_api.hpp"

#include "api/loop_call.hpp"
#include "wire/json/worker_json.hpp"

namespace turmericswitch::control
{

namespace
{

/// The answer to a heartbeat, and the leader to which a `not_leader` response
/// refers.
struct heartbeat_result
{
    core::heartbeat_answer answer;
    std::optional<core::group_member> leader;
};

} // namespace

worker_api::worker_api(control_node& node) : m_node(node) {}

web::http_response worker_api::heartbeat(web::http_request const& request)
{
    auto heartbeat = wire::heartbeat_request_from_json(request.body);
    if (!heartbeat)
    {
        return web::error_response(core::last_reason().code,
                                   core::last_reason().text);
    }
    auto const result = call_on_loop<heartbeat_result>(
        m_node,
        [this, heartbeat = std::move(*heartbeat)](
            std::function<void(heartbeat_result)> const& done) mutable
        {
            auto const& duties = m_node.duties();
            if (!duties)
            {
                heartbeat_result refused;
                refused.answer.code = core::result_code::not_leader;
                refused.leader = m_node.group().leader();
                done(std::move(refused));
                return;
            }
            auto& place = heartbeat.worker.place;
            place = m_node.canonical_place(place);
            duties->heartbeat(std::move(heartbeat),
                              [done](core::heartbeat_answer answer) {
                                  done({std::move(answer), std::nullopt});
                              });
        });
    if (!result)
    {
        return web::error_response(core::last_reason().code,
                                   core::last_reason().text);
    }
    if (result->answer.code == core::result_code::not_leader)
    {
        return misdirected(result->leader, request.target);
    }
    return web::json_response(wire::heartbeat_answer_to_json(result->answer));
}

web::http_response misdirected(std::optional<core::group_member> const& leader,
                               std::string const& target)
{
    auto response = web::error_response(core::result_code::not_leader,
                                        "this control instance is not the "
                                        "leader");
    if (leader)
    {
        response.fields.push_back(
            {"Location", "http://" + to_string(leader->http) + target});
    }
    return response;
}

} // namespace turmericswitch::control
