#ifndef TURMERICSWITCH_SHARED_CONTROL_LINK_LEADER_WATCHER_HPP
#define TURMERICSWITCH_SHARED_CONTROL_LINK_LEADER_WATCHER_HPP

#include "shared/control_link/leader_watch.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace turmericswitch::shared
{

/// Keeps the calls of a `leader_watch` open, each on a connection of its own
/// with few keepalives. Thread-safe.
class leader_watcher
{
public:
    using announcement_hook = std::function<void(leader_announcement const&)>;

    /// @param io Must outlive the watcher.
    /// @param on_leader Called on io threads, one call at a time.
    leader_watcher(transport::io_pool& io,
                   std::uint64_t random_seed,
                   announcement_hook on_leader);
    /// Ends the calls; `on_leader` is not called afterwards unless it runs
    /// already.
    ~leader_watcher();

    leader_watcher(leader_watcher const&) = delete;
    leader_watcher& operator=(leader_watcher const&) = delete;

    void set_members(std::vector<core::endpoint> const& members);

    /// @return Bytes sent and received so far.
    transport::traffic transferred() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::shared

#endif
