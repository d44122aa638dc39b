#ifndef TURMERICSWITCH_GATEWAY_TESTS_REQUEST_PATH_FIXTURE_HPP
#define TURMERICSWITCH_GATEWAY_TESTS_REQUEST_PATH_FIXTURE_HPP

#include "gateway/requests/request_runner.hpp"
#include "gateway/tests/fake_control.hpp"
#include "shared/control_link/config_watch.hpp"
#include "sidecar/service/graceful_stop.hpp"

#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace turmericswitch::testing
{

/// Waits for a condition that other threads make true. Fails the test if it is
/// still false after a time that no passing test needs.
void wait_for(std::function<bool()> const& condition);

/// A backend server that answers with the body of the request. Requests to
/// `/hold` wait until `release_held`.
class echo_backend
{
public:
    echo_backend();

    core::endpoint where() const;
    void release_held();
    /// @return Number of requests that reached the handler.
    std::size_t hits() const;
    /// @return Number of requests received for `/hold`.
    std::size_t held() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_released = false;
    std::size_t m_hits = 0;
    std::size_t m_held = 0;
    std::unique_ptr<web::http_server> m_server;
};

/// A backend server that reads a request, sends a truncated answer and closes
/// the connection.
class truncating_backend
{
public:
    truncating_backend();
    ~truncating_backend();

    truncating_backend(truncating_backend const&) = delete;
    truncating_backend& operator=(truncating_backend const&) = delete;

    core::endpoint where() const;
    std::size_t hits() const;

private:
    void run();

    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<std::size_t> m_hits = 0;
    std::thread m_thread;
};

/// The objects of a turmericswitch-sidecar process.
class sidecar_node
{
public:
    /// @param port 0 chooses a free port.
    sidecar_node(fake_control& control,
                 std::string const& backend,
                 core::endpoint const& server,
                 std::uint64_t incarnation,
                 std::uint16_t port = 0);

    core::endpoint where() const;
    sidecar::sidecar_service& service();
    /// Drains the sidecar and stops it.
    ///
    /// @return Number of requests that were cut off.
    std::size_t stop();

private:
    transport::io_pool m_io{2};
    telemetry::metrics_registry m_metrics;
    std::unique_ptr<shared::control_link> m_control;
    std::unique_ptr<sidecar::sidecar_service> m_service;
    std::unique_ptr<shared::config_watch> m_watch;
    std::unique_ptr<transport::rpc_server> m_rpc;
};

/// The objects of a turmericswitch-gateway process, without a listening port.
class gateway_node
{
public:
    gateway_node(fake_control& control, std::uint64_t seed);

    /// Serves a request on a new thread.
    std::future<web::http_response> send(web::http_request request);
    /// Sends a POST and waits for the answer.
    web::http_response post(std::string const& body,
                            std::string const& key = "",
                            std::string const& target = "/echo");
    /// Waits until the route table has `count` backend servers.
    void wait_for_backends(std::size_t count);

private:
    transport::io_pool m_io{2};
    telemetry::metrics_registry m_metrics;
    telemetry::decision_log m_decisions{100, 1};
    routing::flow_counters m_counters;
    gateway::request_metrics m_counts{m_metrics};
    gateway::route_state m_routes;
    shared::control_link m_control;
    gateway::request_runner m_runner;
    shared::config_watch m_watch;
};

/// @return `ran`, `not_run` or `outcome_unknown`; `none` without the field.
std::string outcome_of(web::http_response const& response);

} // namespace turmericswitch::testing

#endif
