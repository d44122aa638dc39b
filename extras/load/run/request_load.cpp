#include "load/run/request_load.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::load
{

namespace
{

using json = nlohmann::json;

/// Added to the request's timeout, so that the gateway's own timeout response
/// still arrives.
constexpr core::duration response_slack = std::chrono::milliseconds(500);
constexpr std::uint16_t first_error_status = 400;

std::string string_member(std::string const& body, char const* name)
{
    auto const document = json::parse(body, nullptr, false);
    if (!document.is_object())
    {
        return {};
    }
    auto const found = document.find(name);
    return found != document.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

// A gateway that is stopping or has no routes yet refuses requests before it
// reaches the code that adds X-Request-Outcome.
bool is_early_refusal(web::http_response const& response)
{
    auto const code = string_member(response.body, "name");
    return response.status >= first_error_status &&
           (code == core::to_string(core::result_code::draining) ||
            code == core::to_string(core::result_code::not_ready));
}

send_outcome classify_content(web::http_response const& response,
                              std::string const& id)
{
    auto const answered_id = string_member(response.body, "id");
    if (is_early_refusal(response))
    {
        return send_outcome::not_run;
    }
    bool const is_error = response.status >= first_error_status;
    if (is_error && answered_id.empty())
    {
        return send_outcome::error_answer;
    }
    if (answered_id != id)
    {
        return send_outcome::answered_wrong;
    }
    return is_error ? send_outcome::error_answer : send_outcome::answered_whole;
}

} // namespace

send_outcome classify(web::http_result const& result, std::string const& id)
{
    if (result.outcome != web::http_outcome::answered)
    {
        return result.outcome == web::http_outcome::not_sent
                   ? send_outcome::not_sent
                   : send_outcome::lost;
    }
    auto const& response = result.response;
    auto const* const outcome =
        web::find_field(response.fields, "X-Request-Outcome");
    if (outcome != nullptr && *outcome != "ran")
    {
        if (string_member(response.body, "name") == "duplicate_request")
        {
            return send_outcome::duplicate;
        }
        return *outcome == "not_run" ? send_outcome::not_run
                                     : send_outcome::outcome_unknown;
    }
    return classify_content(response, id);
}

web::http_request build_request(scenario const& settings,
                                planned_send const& send,
                                std::string const& id)
{
    auto const timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings.timeout);
    web::http_request request;
    request.method = send.kind == request_kind::read ? "GET" : "POST";
    request.target = settings.requests.path;
    request.fields = {
        {"X-Request-Id", id},
        {"X-Work-Us", std::to_string(send.work_us)},
        {"X-Request-Timeout", std::to_string(timeout.count()) + "ms"}};
    if (send.kind == request_kind::keyed_write)
    {
        request.fields.push_back({"Idempotency-Key", id});
    }
    if (send.kind != request_kind::read)
    {
        request.fields.push_back({"Content-Type", "text/plain"});
        request.body.assign(settings.requests.body_bytes, 'x');
    }
    return request;
}

request_load_result run_requests(scenario const& settings,
                                 std::vector<planned_send> const& sends,
                                 std::string const& tag)
{
    web::http_client_options options;
    options.idle_connections = settings.threads;
    web::http_client client(options);
    request_load_result run;
    run.results.resize(sends.size());
    std::vector<core::duration> times;
    times.reserve(sends.size());
    for (auto const& send : sends)
    {
        times.push_back(send.due);
    }
    run.delays = run_open_loop(
        times,
        settings.threads,
        [&](std::size_t i, std::chrono::steady_clock::time_point due)
        {
            auto const& send = sends[i];
            auto const id = request_id(tag, send.request);
            auto const result =
                client.request(settings.gateways[send.gateway],
                               build_request(settings, send, id),
                               settings.timeout + response_slack,
                               send.kind == request_kind::read);
            auto const taken = std::chrono::steady_clock::now() - due;
            run.results[i] = {
                classify(result, id),
                std::chrono::duration<double, std::milli>(taken).count()};
        });
    return run;
}

} // namespace turmericswitch::load
