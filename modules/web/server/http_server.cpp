#include "web/server/http_server.hpp"

#include "core/results/last_reason.hpp"
#include "web/message/error_response.hpp"
#include "web/server/request_reader.hpp"
#include "web/server/response_writer.hpp"

#include <civetweb.h>

#include <atomic>
#include <chrono>
#include <exception>
#include <mutex>
#include <string>
#include <vector>

namespace turmericswitch::web
{

using core::result_code;

namespace
{

std::string milliseconds(core::duration value)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string listening_ports(server_options const& options)
{
    auto text = core::to_string(options.listen_on);
    for (auto const& address : options.also_listen_on)
    {
        text += ',' + core::to_string(address);
    }
    return text;
}

std::vector<std::string> civetweb_options(server_options const& options)
{
    return {
        "listening_ports",
        listening_ports(options),
        "num_threads",
        std::to_string(options.worker_threads),
        "connection_queue",
        std::to_string(options.connection_queue_limit),
        "max_request_size",
        std::to_string(options.header_limit),
        "request_timeout_ms",
        milliseconds(options.read_timeout),
        "keep_alive_timeout_ms",
        milliseconds(options.keep_alive),
        "enable_keep_alive",
        "yes",
        "tcp_nodelay",
        "1",
        // Backend servers receive the target byte for byte.
        "decode_url",
        "no",
        "enable_auth_domain_check",
        "no",
    };
}

result_code code_of_status(int status)
{
    return status == 413 || status == 414 || status == 431
               ? result_code::request_too_large
               : result_code::request_malformed;
}

// Writes the response to a request that CivetWeb itself rejects.
int on_http_error(mg_connection* connection, int status, char const* text)
{
    http_response response = error_response(code_of_status(status), text);
    response.status = static_cast<std::uint16_t>(status);
    write_response(connection, response, "", false);
    return 0;
}

} // namespace

class http_server::state
{
public:
    state(server_options const& options, http_handler handler)
        : m_options(options), m_handler(std::move(handler))
    {
    }

    bool open()
    {
        static unsigned const features = mg_init_library(MG_FEATURES_DEFAULT);
        static_cast<void>(features);
        mg_callbacks callbacks{};
        callbacks.init_connection = &state::on_connect;
        callbacks.connection_closed = &state::on_disconnect;
        callbacks.begin_request = &state::on_begin_request;
        callbacks.end_request = &state::on_end_request;
        callbacks.http_error = &on_http_error;
        callbacks.log_message = [](mg_connection const*, char const*)
        { return 1; };

        auto const texts = civetweb_options(m_options);
        std::vector<char const*> list;
        list.reserve(texts.size() + 1);
        for (auto const& text : texts)
        {
            list.push_back(text.c_str());
        }
        list.push_back(nullptr);
        m_context = mg_start(&callbacks, this, list.data());
        if (m_context == nullptr)
        {
            return core::fail_bool(result_code::address_in_use,
                                   core::to_string(m_options.listen_on) +
                                       ": can't listen");
        }
        mg_server_port port{};
        mg_get_server_ports(m_context, 1, &port);
        m_bound = {m_options.listen_on.address,
                   static_cast<std::uint16_t>(port.port)};
        return true;
    }

    core::endpoint const& bound() const
    {
        return m_bound;
    }

    std::size_t in_progress() const
    {
        return m_in_progress;
    }

    stop_summary stop()
    {
        std::lock_guard const lock(m_stop_mutex);
        if (m_context == nullptr)
        {
            return m_summary;
        }
        m_stopping = true;
        m_summary.finished = m_in_progress;
        while (std::size_t const left = m_in_progress)
        {
            m_in_progress.wait(left);
        }
        mg_stop(m_context);
        m_context = nullptr;
        m_summary.refused = m_refused;
        return m_summary;
    }

private:
    static state& state_of(mg_connection const* connection)
    {
        return *static_cast<state*>(
            mg_get_user_data(mg_get_context(connection)));
    }

    static int on_connect(mg_connection const* connection, void** data)
    {
        *data = nullptr;
        ++state_of(connection).m_connections;
        return 0;
    }

    static void on_disconnect(mg_connection const* connection)
    {
        --state_of(connection).m_connections;
    }

    static int on_begin_request(mg_connection* connection)
    {
        state& self = state_of(connection);
        // Tells on_end_request that the request was counted; CivetWeb also
        // calls it for requests that it has rejected before this point.
        mg_set_user_connection_data(connection, &self);
        ++self.m_in_progress;
        return self.serve(connection);
    }

    static void on_end_request(mg_connection const* connection, int)
    {
        if (mg_get_user_connection_data(connection) == nullptr)
        {
            return;
        }
        mg_set_user_connection_data(connection, nullptr);
        state& self = state_of(connection);
        --self.m_in_progress;
        self.m_in_progress.notify_all();
    }

    int serve(mg_connection* connection)
    {
        if (m_stopping)
        {
            ++m_refused;
            auto const response =
                error_response(result_code::draining, "the server is stopping");
            write_response(connection, response, "", false);
            return response.status;
        }
        auto const request = read_request(connection, m_options.body_limit);
        if (!request)
        {
            auto const& [code, text] = core::last_reason();
            auto const response = error_response(code, text);
            write_response(connection, response, "", false);
            return response.status;
        }
        http_response const response = run_handler(*request);
        std::string const* const connection_field =
            find_field(request->fields, "Connection");
        bool const above_limit =
            m_connections > m_options.max_keep_alive_connections;
        bool const keep_open =
            !m_stopping && !above_limit &&
            (connection_field == nullptr ||
             !equal_ignoring_case(*connection_field, "close"));
        write_response(connection, response, request->method, keep_open);
        return response.status;
    }

    // An exception must not propagate through CivetWeb's C code. After one it
    // is unknown whether the request ran.
    http_response run_handler(http_request const& request) const
    {
        try
        {
            return m_handler(request);
        }
        catch (std::exception const& error)
        {
            return error_response(result_code::outcome_unknown, error.what());
        }
    }

    server_options m_options;
    http_handler m_handler;
    mg_context* m_context = nullptr;
    core::endpoint m_bound;
    std::atomic<std::size_t> m_in_progress = 0;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_refused = 0;
    std::atomic<bool> m_stopping = false;
    std::mutex m_stop_mutex;
    stop_summary m_summary;
};

std::unique_ptr<http_server> http_server::start(server_options const& options,
                                                http_handler handler)
{
    auto server_state = std::make_unique<state>(options, std::move(handler));
    if (!server_state->open())
    {
        return nullptr;
    }
    return std::unique_ptr<http_server>(
        new http_server(std::move(server_state)));
}

http_server::http_server(std::unique_ptr<state> server_state)
    : m_state(std::move(server_state))
{
}

http_server::~http_server()
{
    m_state->stop();
}

core::endpoint http_server::bound() const
{
    return m_state->bound();
}

stop_summary http_server::stop()
{
    return m_state->stop();
}

std::size_t http_server::in_progress() const
{
    return m_state->in_progress();
}

} // namespace turmericswitch::web
