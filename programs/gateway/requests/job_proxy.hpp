#ifndef TURMERICSWITCH_GATEWAY_REQUESTS_JOB_PROXY_HPP
#define TURMERICSWITCH_GATEWAY_REQUESTS_JOB_PROXY_HPP

#include "web/web.hpp"

#include <mutex>
#include <vector>

namespace turmericswitch::gateway
{

/// Forwards job calls (`/v1/jobs...`) to the control leader.
///
/// A submission without an operation name is never sent twice. One with a name
/// may be, because control recognises the repetition.
class job_proxy
{
public:
    /// @param control Addresses where control instances serve HTTP; not empty.
    explicit job_proxy(std::vector<core::endpoint> control);

    web::http_response forward(web::http_request const& request);

private:
    core::endpoint target();
    void set_target(core::endpoint const& leader);
    void replace_target(core::endpoint const& failed);

    web::http_client m_client;
    std::vector<core::endpoint> m_control;
    std::mutex m_mutex;
    core::endpoint m_target;
    std::size_t m_next = 0;
};

} // namespace turmericswitch::gateway

#endif
