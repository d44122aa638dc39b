#ifndef TURMERICSWITCH_TRANSPORT_IO_IO_POOL_HPP
#define TURMERICSWITCH_TRANSPORT_IO_IO_POOL_HPP

#include "core/types/units.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace turmericswitch::transport
{

/// Threads that run socket input and output, handlers, callbacks and timers.
///
/// Create one per process before its rpc_server and rpc_client objects, which
/// must be destroyed first. Nothing that runs on its threads may block.
class io_pool
{
public:
    /// @param threads Number of threads, at least 1.
    explicit io_pool(std::size_t threads);
    /// Stops the threads; tasks that have not started are dropped.
    ~io_pool();

    io_pool(io_pool const&) = delete;
    io_pool& operator=(io_pool const&) = delete;

    /// Runs `task` soon on any thread of the pool.
    void post(std::function<void()> task);

    /// Runs `task` once on any thread of the pool after `delay`.
    void post_after(core::duration delay, std::function<void()> task);

    /// @return True if the calling thread belongs to this pool.
    bool running_in_this_thread() const noexcept;

    struct state;
    /// @return The Asio context, for modules that run sockets on this pool.
    state& internals() noexcept;

private:
    std::unique_ptr<state> m_state;
};

} // namespace turmericswitch::transport

#endif
