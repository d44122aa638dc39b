#include "process/signals/shutdown_signal.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <poll.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
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
    sigaddset(&set, SIGHUP);
    return set;
}

/// Time between two looks at the settings file, which may change without a
/// signal.
constexpr int settings_check_ms = 2000;

std::int64_t modification_time(std::string const& file)
{
    constexpr std::int64_t nanoseconds = 1'000'000'000;
    struct stat status
    {
    };
    return ::stat(file.c_str(), &status) == 0
               ? status.st_mtim.tv_sec * nanoseconds + status.st_mtim.tv_nsec
               : 0;
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
    while (true)
    {
        auto const signal = wait_milliseconds(settings_check_ms);
        if (signal && *signal != SIGHUP)
        {
            return *signal;
        }
        check_settings(signal.has_value());
    }
}

void shutdown_signal::on_settings_changed(std::string file,
                                          std::function<void()> hook)
{
    m_settings_file = std::move(file);
    m_changed = modification_time(m_settings_file);
    m_on_settings_changed = std::move(hook);
}

void shutdown_signal::check_settings(bool is_told)
{
    if (!m_on_settings_changed)
    {
        return;
    }
    auto const changed = modification_time(m_settings_file);
    if (is_told || changed != m_changed)
    {
        m_changed = changed;
        m_on_settings_changed();
    }
}

std::optional<int> shutdown_signal::wait_for(core::duration limit)
{
    auto const signal = wait_milliseconds(static_cast<int>(
        std::chrono::ceil<std::chrono::milliseconds>(limit).count()));
    return signal && *signal == SIGHUP ? std::nullopt : signal;
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
