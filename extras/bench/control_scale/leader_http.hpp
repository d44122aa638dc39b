#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_LEADER_HTTP_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_LEADER_HTTP_HPP

#include "control_scale/measures.hpp"
#include "web/web.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::bench
{

/// Sends HTTP requests to the control leader and follows it. Any thread may
/// use it.
class leader_http
{
public:
    explicit leader_http(std::vector<core::endpoint> instances,
                         web::http_client_options options = {});

    /// @param traffic Counts the request and its answer.
    /// @return The answer of the leader, or nothing when the request was lost
    /// or no leader was found.
    std::optional<web::http_response> send(std::string const& method,
                                           std::string const& target,
                                           std::string body,
                                           role_traffic& traffic);

    /// @return A metric of one instance, 0 if it can't be read.
    double metric(core::endpoint const& instance, std::string const& name);

    /// @return Index of the instance that answered last.
    std::size_t leader() const;

private:
    void turn(std::size_t from, web::http_response const* refusal);

    std::vector<core::endpoint> m_instances;
    mutable std::mutex m_mutex;
    std::size_t m_leader = 0;
    web::http_client m_client;
};

} // namespace turmericswitch::bench

#endif
