#ifndef TURMERICSWITCH_PROCESS_SIGNALS_SHUTDOWN_SIGNAL_HPP
#define TURMERICSWITCH_PROCESS_SIGNALS_SHUTDOWN_SIGNAL_HPP

#include "core/types/units.hpp"

#include <optional>

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

private:
    std::optional<int> wait_milliseconds(int limit);

    int m_descriptor = -1;
};

} // namespace turmericswitch::process

#endif
