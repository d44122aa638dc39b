#include "control_scale/leader_http.hpp"

#include <chrono>
#include <cstdlib>
#include <thread>

namespace turmericswitch::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration request_timeout = 10s;
constexpr std::uint16_t misdirected_status = 421;
constexpr int tries = 20;
/// Status line or request line, Host, Content-Length and Connection.
constexpr std::size_t fixed_head_bytes = 95;

std::uint64_t bytes_of(std::vector<core::http_field> const& fields,
                       std::string const& body)
{
    constexpr std::size_t separators = 4;
    std::size_t sum = body.size() + fixed_head_bytes;
    for (auto const& field : fields)
    {
        sum += field.name.size() + field.value.size() + separators;
    }
    return sum;
}

} // namespace

leader_http::leader_http(std::vector<core::endpoint> instances,
                         web::http_client_options options)
    : m_instances(std::move(instances)), m_client(options)
{
}

std::optional<web::http_response> leader_http::send(std::string const& method,
                                                    std::string const& target,
                                                    std::string body,
                                                    role_traffic& traffic)
{
    web::http_request request;
    request.method = method;
    request.target = target;
    request.fields = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    for (int i = 0; i < tries; ++i)
    {
        auto const to = leader();
        auto result =
            m_client.request(m_instances[to], request, request_timeout);
        ++traffic.messages;
        traffic.sent += bytes_of(request.fields, request.body) + target.size();
        if (result.outcome == web::http_outcome::answered)
        {
            traffic.received +=
                bytes_of(result.response.fields, result.response.body);
            if (result.response.status != misdirected_status)
            {
                return std::move(result.response);
            }
            turn(to, &result.response);
            continue;
        }
        ++traffic.failed;
        if (result.outcome == web::http_outcome::lost)
        {
            return std::nullopt;
        }
        turn(to, nullptr);
    }
    return std::nullopt;
}

void leader_http::turn(std::size_t from, web::http_response const* refusal)
{
    auto const* const where = refusal != nullptr
                                  ? web::find_field(refusal->fields, "Location")
                                  : nullptr;
    {
        std::lock_guard const lock(m_mutex);
        if (m_leader != from)
        {
            return;
        }
        m_leader = (m_leader + 1) % m_instances.size();
        for (std::size_t i = 0; where != nullptr && i < m_instances.size(); ++i)
        {
            auto const prefix = "http://" + to_string(m_instances[i]) + "/";
            m_leader = where->starts_with(prefix) ? i : m_leader;
        }
    }
    std::this_thread::sleep_for(100ms);
}

double leader_http::metric(core::endpoint const& instance,
                           std::string const& name)
{
    web::http_request request;
    request.method = "GET";
    request.target = "/metrics";
    auto const result = m_client.request(instance, request, request_timeout);
    auto const& text = result.response.body;
    auto const line = text.find("\n" + name + " ");
    return line == std::string::npos
               ? 0
               : std::strtod(text.c_str() + line + name.size() + 2, nullptr);
}

std::size_t leader_http::leader() const
{
    std::lock_guard const lock(m_mutex);
    return m_leader;
}

} // namespace turmericswitch::bench
