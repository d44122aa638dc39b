#include "process/signals/shutdown_signal.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <poll.h>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace turmericswitch::process
{

namespace
{

sigset_t stop_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

[[noreturn]] void fail(char const* what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

} // namespace

shutdown_signal::shutdown_signal()
{
    sigset_t const set = stop_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    m_descriptor = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    if (m_descriptor < 0)
    {
        fail("signalfd");
    }
}

shutdown_signal::~shutdown_signal()
{
    ::close(m_descriptor);
    sigset_t const set = stop_signals();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

int shutdown_signal::wait()
{
    constexpr int without_limit = -1;
    while (true)
    {
        if (auto const signal = wait_milliseconds(without_limit))
        {
            return *signal;
        }
    }
}

std::optional<int> shutdown_signal::wait_for(core::duration limit)
{
    return wait_milliseconds(static_cast<int>(
        std::chrono::ceil<std::chrono::milliseconds>(limit).count()));
}

std::optional<int> shutdown_signal::wait_milliseconds(int limit)
{
    pollfd waiting{m_descriptor, POLLIN, 0};
    if (::poll(&waiting, 1, limit) < 0 && errno != EINTR)
    {
        fail("poll");
    }
    signalfd_siginfo info{};
    if (::read(m_descriptor, &info, sizeof info) !=
        static_cast<ssize_t>(sizeof info))
    {
        return std::nullopt;
    }
    return static_cast<int>(info.ssi_signo);
}

} // namespace turmericswitch::process
