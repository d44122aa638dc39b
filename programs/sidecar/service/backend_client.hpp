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

/// Sends requests to the backend server on threads of its own, one request
/// per thread, so never more at a time than there are threads.
class backend_client
{
public:
    /// Called on one of the threads.
    using done_hook = std::function<void(web::http_result)>;

    /// @param server Where the backend server serves HTTP.
    /// @param threads The largest number of slots.
    backend_client(core::endpoint server, std::size_t threads);
    /// Waits for the requests that were sent.
    ~backend_client();

    backend_client(backend_client const&) = delete;
    backend_client& operator=(backend_client const&) = delete;

    /// @param timeout For the head of the answer.
    void
    call(core::request_content content, core::duration timeout, done_hook done);

private:
    struct work
    {
        core::request_content content;
        core::duration timeout{};
        done_hook done;
    };

    void run();

    core::endpoint m_server;
    web::http_client m_client;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<work> m_queue;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace turmericswitch::sidecar

#endif
