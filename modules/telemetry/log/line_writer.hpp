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
/// and lock, so that request threads seldom wait for each other. No caller
/// waits for the stream: a line that finds its buffer full is dropped. Lines of
/// one thread keep their order; lines of different threads may change places
/// within one interval of the writer.
class line_writer
{
public:
    // 4 MiB over all stripes; at 2,000 decision lines of 200 bytes per second
    // this covers a disk stall of 10 s.
    static constexpr std::size_t default_buffer_bytes = std::size_t{256} * 1024;

    /// @param stream Used by the writer's thread only.
    /// @param buffer_bytes Per stripe; a buffer exceeds it by at most a line.
    explicit line_writer(std::shared_ptr<std::ostream> stream,
                         std::size_t buffer_bytes = default_buffer_bytes);

    /// Writes what is buffered.
    ~line_writer();

    line_writer(line_writer const&) = delete;
    line_writer& operator=(line_writer const&) = delete;

    /// @param line Without the end of line.
    /// @param now True wakes the writer at once.
    /// @return False if the line was dropped.
    bool add(std::string_view line, bool now);

private:
    struct alignas(cache_line_bytes) buffer
    {
        std::mutex mutex;
        std::string text;
    };

    void run();
    void write_all();
    /// Writes whole lines in pieces that a pipe takes at once.
    void write_lines(std::string_view text);
    void wake(bool now);

    std::shared_ptr<std::ostream> m_stream;
    std::size_t m_buffer_bytes;
    std::array<buffer, stripe_count> m_buffers;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    /// Set by the first line after a write.
    std::atomic<bool> m_has_lines = false;
    bool m_is_due = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace turmericswitch::telemetry

#endif
