#ifndef TURMERICSWITCH_TELEMETRY_LOG_LINE_WRITER_HPP
#define TURMERICSWITCH_TELEMETRY_LOG_LINE_WRITER_HPP

#include "telemetry/metrics/thread_stripe.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>

namespace turmericswitch::telemetry
{

/// Writes whole lines to a stream from a thread of its own.
///
/// Any thread may add lines. Each stripe of threads has its own bounded buffer
/// and lock, so that request threads seldom wait for each other; a caller
/// waits for the writer only when its buffer is full. Lines of one thread keep
/// their order; lines of different threads may change places within one
/// interval of the writer.
class line_writer
{
public:
    /// @param stream Used by the writer's thread only.
    explicit line_writer(std::shared_ptr<std::ostream> stream);

    /// Writes what is buffered.
    ~line_writer();

    line_writer(line_writer const&) = delete;
    line_writer& operator=(line_writer const&) = delete;

    /// @param line Without the end of line.
    /// @param now True wakes the writer at once.
    void add(std::string_view line, bool now);

private:
    struct alignas(cache_line_bytes) buffer
    {
        std::mutex mutex;
        std::condition_variable has_room;
        std::string text;
    };

    void run();
    void write_all();
    void wake();

    std::shared_ptr<std::ostream> m_stream;
    std::array<buffer, stripe_count> m_buffers;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_is_due = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace turmericswitch::telemetry

#endif
