#ifndef TURMERICSWITCH_SIDECAR_SERVICE_BACKEND_CLIENT_HPP
#define TURMERICSWITCH_SIDECAR_SERVICE_BACKEND_CLIENT_HPP

#include "core/messages/request_path.hpp"
#include "web/web.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace turmericswitch::sidecar
{

/// Sends HTTP requests to the backend server on its own threads. Each thread
/// sends one request at a time, so their number limits the concurrency.
class backend_client
{
public:
    /// Called on one of the client's threads.
    using done_hook = std::function<void(web::http_result)>;

    /// @param server HTTP endpoint of the backend server.
    /// @param threads Maximum number of concurrent requests.
    backend_client(core::endpoint server, std::size_t threads);
    /// Finishes all requests that were passed to call().
    ~backend_client();

    backend_client(backend_client const&) = delete;
    backend_client& operator=(backend_client const&) = delete;

    /// Queues a request until a thread is free.
    ///
    /// @param timeout For the head of the answer.
    void
    call(core::request_content content, core::duration timeout, done_hook done);

private:
    struct queued_request
    {
        core::request_content content;
        core::duration timeout{};
        done_hook done;
    };

    void run();

    core::endpoint m_server;
    web::http_client m_client;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<queued_request> m_queue;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace turmericswitch::sidecar

#endif
