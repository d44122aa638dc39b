#ifndef TURMERICSWITCH_BENCH_CONTROL_SCALE_LEADER_CLIENT_HPP
#define TURMERICSWITCH_BENCH_CONTROL_SCALE_LEADER_CLIENT_HPP

#include "control_scale/measurements.hpp"
#include "web/web.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::bench
{

/// HTTP client that sends requests to the control leader and follows leader
/// changes. Thread-safe.
class leader_client
{
public:
    explicit leader_client(std::vector<core::endpoint> instances,
                           web::http_client_options options = {});

    /// @param traffic Counts the request and its answer.
    /// @return The answer of the leader, or nothing if the request was lost or
    /// no leader was found.
    std::optional<web::http_response> send(std::string const& method,
                                           std::string const& target,
                                           std::string body,
                                           role_traffic& traffic);

    /// @return Value of a metric of one instance, 0 if it can't be read.
    double metric(core::endpoint const& instance, std::string const& name);

    /// @return Index of the instance that is assumed to be the leader.
    std::size_t leader() const;

private:
    /// Uses another instance as the leader, unless another thread already did:
    /// the one in the `Location` of the redirect, or else the next one.
    ///
    /// @param from Index of the instance that did not answer as the leader.
    /// @param redirect Its answer, null if there was none.
    void switch_leader(std::size_t from, web::http_response const* redirect);

    std::vector<core::endpoint> m_instances;
    mutable std::mutex m_mutex;
    std::size_t m_leader = 0;
    web::http_client m_client;
};

} // namespace turmericswitch::bench

#endif
