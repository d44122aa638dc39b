#ifndef TURMERICSWITCH_PROCESS_SIGNALS_SHUTDOWN_SIGNAL_HPP
#define TURMERICSWITCH_PROCESS_SIGNALS_SHUTDOWN_SIGNAL_HPP

#include "core/types/units.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace turmericswitch::process
{

/// Lets main() wait for SIGTERM or SIGINT.
///
/// Create one at the beginning of main(), before any thread: it blocks the
/// two signals for the thread and all threads started later, and ignores
/// SIGPIPE.
class shutdown_signal
{
public:
    shutdown_signal();
    /// Restores the signal mask of the calling thread.
    ~shutdown_signal();

    shutdown_signal(shutdown_signal const&) = delete;
    shutdown_signal& operator=(shutdown_signal const&) = delete;

    /// Waits without a limit.
    ///
    /// @return The number of the signal.
    int wait();

    /// @return The number of the signal, or nothing after `limit`.
    std::optional<int> wait_for(core::duration limit);

    /// Calls a hook, on the thread in `wait`, when the settings file has
    /// changed: after SIGHUP, and when its time stamp differs.
    void on_settings_changed(std::string file, std::function<void()> hook);

private:
    std::optional<int> wait_milliseconds(int limit);
    void check_settings(bool is_told);

    int m_descriptor = -1;
    std::string m_settings_file;
    std::function<void()> m_on_settings_changed;
    /// Of the settings file, in nanoseconds; 0 if unknown.
    std::int64_t m_changed = 0;
};

} // namespace turmericswitch::process

#endif
