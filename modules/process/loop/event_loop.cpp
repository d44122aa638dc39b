#include "process/loop/event_loop.hpp"

#include <chrono>
#include <utility>

namespace turmericswitch::process
{

namespace
{

using clock = std::chrono::steady_clock;

clock::time_point const process_start = clock::now();

std::function<core::time_point()>& replaced_clock()
{
    static std::function<core::time_point()> source;
    return source;
}

} // namespace

event_loop::event_loop(core::duration tick_interval) : m_interval(tick_interval)
{
}

event_loop::~event_loop()
{
    stop();
}

void event_loop::start(task on_tick)
{
    m_on_tick = std::move(on_tick);
    m_thread = std::thread([this] { run(); });
}

void event_loop::stop()
{
    {
        std::lock_guard const lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void event_loop::post(task work)
{
    {
        std::lock_guard const lock(m_mutex);
        if (m_stopping)
        {
            return;
        }
        m_tasks.push_back(std::move(work));
    }
    m_wake.notify_one();
}

void event_loop::run_pending()
{
    for (;;)
    {
        std::deque<task> ready;
        {
            std::lock_guard const lock(m_mutex);
            ready.swap(m_tasks);
        }
        if (ready.empty())
        {
            return;
        }
        for (auto const& work : ready)
        {
            work();
        }
    }
}

void event_loop::set_clock(std::function<core::time_point()> source)
{
    replaced_clock() = std::move(source);
}

core::time_point event_loop::now()
{
    if (auto const& source = replaced_clock())
    {
        return source();
    }
    return core::time_point(std::chrono::duration_cast<core::duration>(
        clock::now() - process_start));
}

std::size_t event_loop::backlog() const
{
    std::lock_guard const lock(m_mutex);
    return m_tasks.size();
}

void event_loop::run()
{
    auto next_tick = clock::now() + m_interval;
    for (;;)
    {
        std::deque<task> ready;
        bool is_last = false;
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait_until(lock,
                              next_tick,
                              [this]
                              { return m_stopping || !m_tasks.empty(); });
            ready.swap(m_tasks);
            is_last = m_stopping;
        }
        for (auto const& work : ready)
        {
            work();
        }
        if (is_last)
        {
            return;
        }
        if (clock::now() >= next_tick)
        {
            m_on_tick();
            next_tick = clock::now() + m_interval;
        }
    }
}

} // namespace turmericswitch::process
