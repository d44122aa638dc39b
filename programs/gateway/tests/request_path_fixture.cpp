#include "gateway/tests/request_path_fixture.hpp"

#include "wire/codec/protocol_version.hpp"

#include <arpa/inet.h>
#include <cppunit/TestAssert.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace turmericswitch::testing
{

namespace
{

core::endpoint const any_port{"127.0.0.1", 0};

} // namespace

void wait_for(std::function<bool()> const& condition)
{
    auto const deadline = process::event_loop::now() + std::chrono::minutes(4);
    while (!condition())
    {
        CPPUNIT_ASSERT(process::event_loop::now() < deadline);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

echo_backend::echo_backend()
{
    web::server_options options;
    options.listen_on = any_port;
    m_server = web::http_server::start(
        options,
        [this](web::http_request const& request)
        {
            std::unique_lock lock(m_mutex);
            ++m_hits;
            if (request.target == "/hold")
            {
                ++m_held;
                m_changed.wait(lock, [this] { return m_released; });
            }
            return web::text_response(request.body);
        });
}

core::endpoint echo_backend::where() const
{
    return m_server->bound();
}

void echo_backend::release_held()
{
    {
        std::lock_guard const lock(m_mutex);
        m_released = true;
    }
    m_changed.notify_all();
}

std::size_t echo_backend::hits() const
{
    std::lock_guard const lock(m_mutex);
    return m_hits;
}

std::size_t echo_backend::held() const
{
    std::lock_guard const lock(m_mutex);
    return m_held;
}

truncating_backend::truncating_backend()
    : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* const address = reinterpret_cast<sockaddr*>(&local);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(m_listener, address, sizeof local));
    ::listen(m_listener, 16);
    socklen_t size = sizeof local;
    ::getsockname(m_listener, address, &size);
    m_port = ntohs(local.sin_port);
    m_thread = std::thread([this] { run(); });
}

truncating_backend::~truncating_backend()
{
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
}

core::endpoint truncating_backend::where() const
{
    return {"127.0.0.1", m_port};
}

std::size_t truncating_backend::hits() const
{
    return m_hits;
}

void truncating_backend::run()
{
    for (;;)
    {
        int const peer = ::accept(m_listener, nullptr, nullptr);
        if (peer < 0)
        {
            return;
        }
        char bytes[4096];
        if (::recv(peer, bytes, sizeof bytes, 0) > 0)
        {
            ++m_hits;
            std::string const truncated =
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
            ::send(peer, truncated.data(), truncated.size(), MSG_NOSIGNAL);
        }
        ::close(peer);
    }
}

sidecar_node::sidecar_node(fake_control& control,
                           std::string const& backend,
                           core::endpoint const& server,
                           std::uint64_t incarnation,
                           std::uint16_t port)
{
    sidecar::sidecar_settings settings;
    settings.backend = core::backend_id(backend);
    settings.service = core::service_id("s");
    settings.zone = core::zone_id("a");
    settings.server = server;
    settings.slots = 8;
    settings.connections = 60;
    m_control = std::make_unique<shared::control_link>(
        m_io, std::vector{control.where()}, incarnation);
    m_service = std::make_unique<sidecar::sidecar_service>(
        settings, *m_control, m_metrics, core::incarnation(incarnation));
    m_watch = std::make_unique<shared::config_watch>(
        m_io,
        *m_control,
        core::client_id("sidecar " + backend),
        [this](core::watch_answer const& update)
        {
            m_service->configure(update);
            return shared::config_watch::known_state{update.current, {}};
        },
        shared::watch_options{core::backend_scope{
            settings.backend, settings.service, settings.zone}});
    transport::connection_options options;
    options.protocol_version = wire::protocol_version;
    m_rpc = transport::rpc_server::listen(
        m_io,
        {"127.0.0.1", port},
        [this](transport::rpc_request const& request,
               transport::responder answer)
        { m_service->handle(request, std::move(answer)); },
        options);
    CPPUNIT_ASSERT(m_rpc);
    m_service->start(m_rpc->bound());
    m_watch->start();
}

core::endpoint sidecar_node::where() const
{
    return m_rpc->bound();
}

sidecar::sidecar_service& sidecar_node::service()
{
    return *m_service;
}

std::size_t sidecar_node::stop()
{
    return sidecar::stop_gracefully(
        *m_service, *m_rpc, {std::chrono::minutes(4), core::duration()});
}

gateway_node::gateway_node(fake_control& control, std::uint64_t seed)
    : m_routes(m_io, core::zone_id("a"), seed),
      m_control(m_io, {control.where()}, seed),
      m_runner({m_io,
                m_routes,
                m_control,
                m_decisions,
                m_counts,
                m_counters,
                routing::random_policy(),
                seed}),
      m_watch(m_io,
              m_control,
              core::client_id("gateway " + std::to_string(seed)),
              [this](core::watch_answer const& update)
              { return m_routes.apply(update); })
{
    m_watch.start();
}

std::future<web::http_response> gateway_node::send(web::http_request request)
{
    return std::async(std::launch::async,
                      [this, request = std::move(request)]
                      { return m_runner.serve(request); });
}

web::http_response gateway_node::post(std::string const& body,
                                      std::string const& key,
                                      std::string const& target)
{
    web::http_request request{"POST", target, {}, body};
    if (!key.empty())
    {
        request.fields.push_back({"Idempotency-Key", key});
    }
    return send(std::move(request)).get();
}

void gateway_node::wait_for_backends(std::size_t count)
{
    wait_for(
        [&]
        {
            auto const table = m_routes.tables().current();
            std::size_t found = 0;
            if (table)
            {
                for (auto const& [service, routes] : table->services)
                {
                    found += routes.backends.size();
                }
            }
            return found == count;
        });
}

std::string outcome_of(web::http_response const& response)
{
    auto const* const field =
        web::find_field(response.fields, "X-Request-Outcome");
    return field == nullptr ? "none" : *field;
}

} // namespace turmericswitch::testing
