#include "sidecar/service/backend_client.hpp"

#include <utility>

namespace turmericswitch::sidecar
{

backend_client::backend_client(core::endpoint server, std::size_t threads)
    : m_server(std::move(server))
{
    for (std::size_t i = 0; i < threads; ++i)
    {
        m_threads.emplace_back([this] { run(); });
    }
}

backend_client::~backend_client()
{
    {
        std::lock_guard const lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto& thread : m_threads)
    {
        thread.join();
    }
}

void backend_client::call(core::request_content content,
                          core::duration timeout,
                          done_hook done)
{
    {
        std::lock_guard const lock(m_mutex);
        m_queue.push_back({std::move(content), timeout, std::move(done)});
    }
    m_changed.notify_one();
}

void backend_client::run()
{
    for (;;)
    {
        queued_request next;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock,
                           [this] { return m_stopping || !m_queue.empty(); });
            if (m_queue.empty())
            {
                return;
            }
            next = std::move(m_queue.front());
            m_queue.pop_front();
        }
        next.done(m_client.request(m_server, next.content, next.timeout));
    }
}

} // namespace turmericswitch::sidecar
