#include "api/operator_api.hpp"

#include "api/loop_call.hpp"
#include "api/request_body.hpp"
#include "api/state_json.hpp"
#include "api/worker_api.hpp"
#include "settings/values/parse_value.hpp"
#include "wire/json/decision_json.hpp"
#include "wire/json/job_json.hpp"

namespace turmericswitch::control
{

namespace
{

constexpr std::size_t default_list_limit = 100;
constexpr std::size_t max_list_limit = 10'000;

/// The reply to a write, and the leader to which a `not_leader` response
/// refers.
struct write_result
{
    core::command_reply reply;
    std::optional<core::group_member> leader;
};

web::http_response last_error()
{
    return web::error_response(core::last_reason().code,
                               core::last_reason().text);
}

/// @return The body of a write, or nothing with `request_malformed` if it has
/// no author.
std::optional<write_body> parse_authored_body(web::http_request const& request)
{
    auto body = parse_write_body(request.body);
    if (body && body->author.empty())
    {
        return core::fail(core::result_code::request_malformed,
                          "expected the JSON member author");
    }
    return body;
}

std::size_t limit_of(web::http_request const& request)
{
    auto const text = web::query_value(request, "limit");
    auto const number = text ? settings::parse_integer(*text) : std::nullopt;
    return number && *number > 0
               ? std::min(static_cast<std::size_t>(*number), max_list_limit)
               : default_list_limit;
}

std::optional<core::job_state> state_named(std::string const& name)
{
    for (std::uint8_t i = 0; i < cluster_state::job_state_count; ++i)
    {
        auto const state = static_cast<core::job_state>(i);
        if (core::to_string(state) == name)
        {
            return state;
        }
    }
    return std::nullopt;
}

web::http_response response_of(web::http_request const& request,
                               write_result const& result)
{
    if (result.reply.code == core::result_code::not_leader)
    {
        return misdirected(result.leader, request.target);
    }
    auto response = web::json_response(reply_to_json(result.reply));
    if (result.reply.code != core::result_code::ok)
    {
        response.status = web::http_status(result.reply.code);
    }
    return response;
}

} // namespace

operator_api::operator_api(control_node& node) : m_node(node) {}

web::http_response operator_api::read(web::http_request const& request,
                                      reader build)
{
    auto const response = call_on_loop<web::http_response>(
        m_node,
        [this, build = std::move(build), target = request.target](
            std::function<void(web::http_response)> const& done)
        {
            m_node.group().read(
                [this, build, done, target](core::result_code code)
                {
                    if (code == core::result_code::ok)
                    {
                        done(build());
                    }
                    else if (code == core::result_code::not_leader)
                    {
                        done(misdirected(m_node.group().leader(), target));
                    }
                    else
                    {
                        done(web::error_response(
                            code, "leadership could not be confirmed"));
                    }
                });
        });
    return response ? *response : last_error();
}

web::http_response operator_api::write(web::http_request const& request,
                                       core::client_id client,
                                       core::command_body body)
{
    auto const result = call_on_loop<write_result>(
        m_node,
        [this, client = std::move(client), body = std::move(body)](
            std::function<void(write_result)> const& done)
        {
            // Each operation is a session of its own with one command, so that
            // the same operation sent again gets its first reply.
            core::sequence_number const sequence(client.value().empty() ? 0
                                                                        : 1);
            m_node.group().propose(
                body,
                client,
                sequence,
                [this, done](core::command_reply const& reply) {
                    done({reply, m_node.group().leader()});
                });
        });
    return result ? response_of(request, *result) : last_error();
}

std::vector<web::route> operator_api::routes()
{
    using web::http_request;
    using web::path_parameters;
    auto const read_with = [this](auto build)
    {
        return
            [this, build](http_request const& request, path_parameters const&)
        {
            return read(request,
                        [this, build, request]
                        { return web::json_response(build(m_node, request)); });
        };
    };
    auto const call_member = [this](auto handle)
    {
        return
            [this, handle](http_request const& request, path_parameters const&)
        { return (this->*handle)(request); };
    };
    auto const set_zone_to = [this](core::zone_state state)
    {
        return [this, state](http_request const& request,
                             path_parameters const& path)
        { return set_zone(request, path.at("zone"), state); };
    };
    using request_type = http_request const&;
    return {
        {"GET",
         "/v1/status",
         read_with([](control_node& node, request_type)
                   { return status_to_json(node); })},
        {"GET",
         "/v1/local-status",
         [this](http_request const&, path_parameters const&)
         { return local_status(); }},
        {"GET",
         "/v1/rules",
         read_with([](control_node& node, request_type)
                   { return rules_to_json(node); })},
        {"GET",
         "/v1/history",
         read_with([](control_node& node, request_type request)
                   { return history_to_json(node, limit_of(request)); })},
        {"GET",
         "/v1/members",
         read_with([](control_node& node, request_type)
                   { return members_to_json(node); })},
        {"GET", "/v1/jobs", call_member(&operator_api::list_jobs)},
        {"GET",
         "/v1/jobs/{id}",
         [this](http_request const& request, path_parameters const& path)
         { return show_job(request, path.at("id")); }},
        {"GET",
         "/v1/explain/{subject}",
         [this](http_request const&, path_parameters const& path)
         {
             return web::json_response(wire::decisions_to_json(
                 m_node.decisions().find(path.at("subject"))));
         }},
        {"POST", "/v1/rules", call_member(&operator_api::apply_rules)},
        {"POST",
         "/v1/zones/{zone}/out",
         set_zone_to(core::zone_state::out_of_service)},
        {"POST",
         "/v1/zones/{zone}/in",
         set_zone_to(core::zone_state::in_service)},
        {"POST",
         "/v1/backends/{backend}/drain",
         [this](http_request const& request, path_parameters const& path)
         { return set_drain(request, path.at("backend")); }},
        {"POST", "/v1/jobs", call_member(&operator_api::submit)},
        {"POST", "/v1/jobs/cancel", call_member(&operator_api::cancel)},
        {"POST", "/v1/members", call_member(&operator_api::change_members)},
    };
}

web::http_response operator_api::local_status()
{
    auto const text = call_on_loop<std::string>(
        m_node,
        [this](std::function<void(std::string)> const& done)
        { done(status_to_json(m_node)); });
    return text ? web::json_response(*text) : last_error();
}

web::http_response operator_api::apply_rules(web::http_request const& request)
{
    auto const body = parse_authored_body(request);
    if (!body)
    {
        return last_error();
    }
    if (!body->replaces)
    {
        return web::error_response(core::result_code::request_malformed,
                                   "expected the JSON member replaces");
    }
    return write(request,
                 core::client_id(body->operation),
                 core::apply_rules{core::operator_id(body->author),
                                   core::revision(*body->replaces),
                                   body->text});
}

web::http_response operator_api::set_zone(web::http_request const& request,
                                          std::string const& zone,
                                          core::zone_state state)
{
    auto const body = parse_authored_body(request);
    return body ? write(request,
                        core::client_id(body->operation),
                        core::set_zone{core::operator_id(body->author),
                                       core::zone_id(zone),
                                       state,
                                       body->requested_by})
                : last_error();
}

web::http_response operator_api::set_drain(web::http_request const& request,
                                           std::string const& backend)
{
    auto const body = parse_authored_body(request);
    return body ? write(request,
                        core::client_id(body->operation),
                        core::set_drain{core::operator_id(body->author),
                                        core::backend_id(backend),
                                        body->draining.value_or(true)})
                : last_error();
}

web::http_response operator_api::submit(web::http_request const& request)
{
    auto const body = parse_write_body(request.body);
    auto jobs = wire::jobs_from_json(request.body);
    if (!body || !jobs)
    {
        return last_error();
    }
    return write(request,
                 core::client_id(body->operation),
                 core::submit_jobs{std::move(*jobs)});
}

web::http_response operator_api::cancel(web::http_request const& request)
{
    auto ids = wire::job_ids_from_json(request.body);
    return ids ? write(request, {}, core::cancel_jobs{std::move(*ids)})
               : last_error();
}

web::http_response operator_api::list_jobs(web::http_request const& request)
{
    std::optional<core::job_state> state;
    if (auto const name = web::query_value(request, "state"))
    {
        state = state_named(*name);
        if (!state)
        {
            return web::error_response(core::result_code::request_malformed,
                                       "unknown job state " + *name);
        }
    }
    return read(
        request,
        [this, state, limit = limit_of(request)]
        { return web::json_response(jobs_to_json(m_node, state, limit)); });
}

web::http_response operator_api::show_job(web::http_request const& request,
                                          std::string const& id)
{
    auto const number = settings::parse_integer(id);
    return read(
        request,
        [this, number]
        {
            auto const* const job =
                number && *number > 0
                    ? m_node.group().state().jobs().find(
                          core::job_id(static_cast<std::uint64_t>(*number)))
                    : nullptr;
            return job != nullptr
                       ? web::json_response(job_to_json(*job))
                       : web::error_response(core::result_code::job_unknown,
                                             "no job has this id");
        });
}

web::http_response
operator_api::change_members(web::http_request const& request)
{
    auto const change = parse_member_change(request.body);
    if (!change)
    {
        return last_error();
    }
    auto const kind = change->action == member_action::add
                          ? consensus::membership_change_kind::add_learner
                          : consensus::membership_change_kind::remove;
    auto const result = call_on_loop<write_result>(
        m_node,
        [this, kind, member = change->member](
            std::function<void(write_result)> const& done)
        {
            m_node.group().change_membership(
                kind,
                member,
                [this, done](core::command_reply const& reply) {
                    done({reply, m_node.group().leader()});
                });
        });
    return result ? response_of(request, *result) : last_error();
}

} // namespace turmericswitch::control
