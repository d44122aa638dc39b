#include "control_scale/leader_client.hpp"

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
constexpr int max_attempts = 20;
/// Approximate size of the status or request line and the Host, Content-Length
/// and Connection fields.
constexpr std::size_t fixed_header_bytes = 95;

std::uint64_t bytes_of(std::vector<core::http_field> const& fields,
                       std::string const& body)
{
    constexpr std::size_t separators = 4;
    std::size_t sum = body.size() + fixed_header_bytes;
    for (auto const& field : fields)
    {
        sum += field.name.size() + field.value.size() + separators;
    }
    return sum;
}

} // namespace

leader_client::leader_client(std::vector<core::endpoint> instances,
                             web::http_client_options options)
    : m_instances(std::move(instances)), m_client(options)
{
}

std::optional<web::http_response> leader_client::send(std::string const& method,
                                                      std::string const& target,
                                                      std::string body,
                                                      role_traffic& traffic)
{
    web::http_request request;
    request.method = method;
    request.target = target;
    request.fields = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    for (int i = 0; i < max_attempts; ++i)
    {
        auto const instance = leader();
        auto result =
            m_client.request(m_instances[instance], request, request_timeout);
        ++traffic.messages;
        traffic.sent_bytes +=
            bytes_of(request.fields, request.body) + target.size();
        if (result.outcome == web::http_outcome::answered)
        {
            traffic.received_bytes +=
                bytes_of(result.response.fields, result.response.body);
            if (result.response.status != misdirected_status)
            {
                return std::move(result.response);
            }
            switch_leader(instance, &result.response);
            continue;
        }
        ++traffic.failed;
        if (result.outcome == web::http_outcome::lost)
        {
            return std::nullopt;
        }
        switch_leader(instance, nullptr);
    }
    return std::nullopt;
}

void leader_client::switch_leader(std::size_t from,
                                  web::http_response const* redirect)
{
    auto const* const location =
        redirect != nullptr ? web::find_field(redirect->fields, "Location")
                            : nullptr;
    {
        std::lock_guard const lock(m_mutex);
        if (m_leader != from)
        {
            return;
        }
        m_leader = (m_leader + 1) % m_instances.size();
        for (std::size_t i = 0; location != nullptr && i < m_instances.size();
             ++i)
        {
            auto const prefix = "http://" + to_string(m_instances[i]) + "/";
            m_leader = location->starts_with(prefix) ? i : m_leader;
        }
    }
    std::this_thread::sleep_for(100ms);
}

double leader_client::metric(core::endpoint const& instance,
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

std::size_t leader_client::leader() const
{
    std::lock_guard const lock(m_mutex);
    return m_leader;
}

} // namespace turmericswitch::bench
