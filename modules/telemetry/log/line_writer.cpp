#include "telemetry/log/line_writer.hpp"

#include <chrono>
#include <utility>

namespace turmericswitch::telemetry
{

namespace
{

// Bounds how late a line appears; a write per line costs more processor time
// than the line itself.
constexpr auto interval = std::chrono::milliseconds(20);

// A pipe takes up to this many bytes whole or not at all (PIPE_BUF). Larger
// writes came out with bytes missing in the middle of lines.
constexpr std::size_t piece_bytes = 4096;

} // namespace

line_writer::line_writer(std::shared_ptr<std::ostream> stream,
                         std::size_t buffer_bytes)
    : m_stream(std::move(stream)),
      m_buffer_bytes(buffer_bytes),
      m_thread([this] { run(); })
{
}

line_writer::~line_writer()
{
    {
        std::lock_guard const lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

bool line_writer::add(std::string_view line, bool now)
{
    auto& own = m_buffers[stripe_of_this_thread()];
    bool is_full = false;
    bool is_half_full = false;
    bool is_first = false;
    {
        std::lock_guard const lock(own.mutex);
        is_full = own.text.size() >= m_buffer_bytes;
        if (!is_full)
        {
            is_first = own.text.empty();
            bool const was_below = own.text.size() < m_buffer_bytes / 2;
            own.text.append(line).push_back('\n');
            is_half_full = was_below && own.text.size() >= m_buffer_bytes / 2;
        }
    }
    if (is_first && !m_has_lines.exchange(true))
    {
        wake(now);
    }
    else if (now || is_half_full)
    {
        wake(true);
    }
    return !is_full;
}

void line_writer::wake(bool now)
{
    {
        std::lock_guard const lock(m_mutex);
        m_is_due = m_is_due || now;
    }
    m_wake.notify_one();
}

void line_writer::run()
{
    for (bool stopping = false; !stopping;)
    {
        {
            std::unique_lock lock(m_mutex);
            // An idle process must not wake up for its log.
            m_wake.wait(
                lock, [this] { return m_has_lines || m_is_due || m_stopping; });
            m_wake.wait_for(
                lock, interval, [this] { return m_is_due || m_stopping; });
            m_is_due = false;
            m_has_lines = false;
            stopping = m_stopping;
        }
        write_all();
    }
}

void line_writer::write_all()
{
    for (auto& one : m_buffers)
    {
        std::string text;
        {
            std::lock_guard const lock(one.mutex);
            text.swap(one.text);
        }
        if (text.empty())
        {
            continue;
        }
        write_lines(text);
    }
}

void line_writer::write_lines(std::string_view text)
{
    while (!text.empty())
    {
        auto end = text.size();
        if (end > piece_bytes)
        {
            auto const line_end = text.rfind('\n', piece_bytes - 1);
            end = line_end == std::string_view::npos ? text.find('\n') + 1
                                                     : line_end + 1;
        }
        m_stream->write(text.data(), static_cast<std::streamsize>(end));
        m_stream->flush();
        text.remove_prefix(end);
    }
}

} // namespace turmericswitch::telemetry
