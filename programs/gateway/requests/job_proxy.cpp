#include "gateway/requests/job_proxy.hpp"

#include "shared/peers/leader_address.hpp"

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace turmericswitch::gateway
{

namespace
{

/// Longer than control's own timeout, so that its answer arrives first.
constexpr core::duration forward_timeout = std::chrono::seconds(7);
/// Tries beyond one per instance, for the leader that an instance names.
constexpr unsigned extra_tries = 2;
constexpr std::uint16_t misdirected_status = 421;

} // namespace

job_proxy::job_proxy(std::vector<core::endpoint> control)
    : m_control(std::move(control))
{
    assert(!m_control.empty());
    m_target = m_control.front();
}

web::http_response job_proxy::forward(web::http_request const& request)
{
    auto const tries = m_control.size() + extra_tries;
    web::http_result result;
    for (std::size_t i = 0; i < tries; ++i)
    {
        auto const peer = target();
        result = m_client.request(
            peer, request, forward_timeout, request.method == "GET");
        if (result.outcome == web::http_outcome::answered)
        {
            if (result.response.status != misdirected_status)
            {
                return std::move(result.response);
            }
            if (auto const leader = shared::leader_address(result.response))
            {
                set_target(*leader);
            }
            else
            {
                replace_target(peer);
            }
            continue;
        }
        replace_target(peer);
        if (result.outcome == web::http_outcome::lost)
        {
            return web::error_response(
                core::result_code::outcome_unknown,
                "control's answer was lost; send the same operation again");
        }
    }
    return web::error_response(core::result_code::no_quorum,
                               "no control leader was found; nothing was "
                               "accepted");
}

core::endpoint job_proxy::target()
{
    std::lock_guard const lock(m_mutex);
    return m_target;
}

void job_proxy::set_target(core::endpoint const& leader)
{
    std::lock_guard const lock(m_mutex);
    m_target = leader;
}

void job_proxy::replace_target(core::endpoint const& failed)
{
    std::lock_guard const lock(m_mutex);
    if (m_target == failed)
    {
        m_next = (m_next + 1) % m_control.size();
        m_target = m_control[m_next];
    }
}

} // namespace turmericswitch::gateway
