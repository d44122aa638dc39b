#include "transport/io/io_pool.hpp"

#include "transport/io/io_pool_state.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cassert>
#include <utility>

namespace turmericswitch::transport
{

io_pool::io_pool(std::size_t threads)
    : m_state(std::make_unique<state>(threads))
{
    assert(threads > 0);
    for (std::size_t i = 0; i < threads; ++i)
    {
        m_state->threads.emplace_back([this] { m_state->context.run(); });
    }
}

io_pool::~io_pool()
{
    m_state->work.reset();
    m_state->context.stop();
    for (auto& thread : m_state->threads)
    {
        thread.join();
    }
}

void io_pool::post(std::function<void()> task)
{
    boost::asio::post(m_state->context, std::move(task));
}

void io_pool::post_after(core::duration delay, std::function<void()> task)
{
    auto timer =
        std::make_shared<boost::asio::steady_timer>(m_state->context, delay);
    timer->async_wait(
        [timer, task = std::move(task)](boost::system::error_code error)
        {
            if (!error)
            {
                task();
            }
        });
}

bool io_pool::running_in_this_thread() const noexcept
{
    return m_state->context.get_executor().running_in_this_thread();
}

io_pool::state& io_pool::internals() noexcept
{
    return *m_state;
}

} // namespace turmericswitch::transport
