#ifndef TURMERICSWITCH_SHARED_CONTROL_LINK_CONTROL_LINK_HPP
#define TURMERICSWITCH_SHARED_CONTROL_LINK_CONTROL_LINK_HPP

#include "shared/control_link/leader_watch.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::shared
{

/// Result of a call to control.
struct control_result : transport::call_result
{
    /// Number of the connection on which the call was sent.
    std::uint64_t connection = 0;
};

using control_callback = std::function<void(control_result)>;

/// Sends calls to the current control leader.
///
/// It starts with the configured instances, switches to the leader that an
/// instance names, and tries the next instance after a failed call. If it
/// watches the leader, it switches to an instance as soon as that announces
/// itself. It does not repeat calls, and a switch ends the open calls to the
/// previous instance. Thread-safe.
class control_link
{
public:
    /// @param io Must outlive the link.
    /// @param instances RPC endpoints of control instances; not empty.
    control_link(transport::io_pool& io,
                 std::vector<core::endpoint> instances,
                 std::uint64_t random_seed);

    /// @param done Called once on an io thread.
    void call(std::string path,
              std::string body,
              core::duration timeout,
              control_callback done);

    /// Reports that the peer that answered a call is not the leader. Ignored if
    /// the link has switched to another peer since.
    ///
    /// @param leader RPC endpoint of the leader, if the peer knew it.
    void not_leader(control_result const& answer,
                    std::optional<core::endpoint> const& leader);

    /// Asks every instance to announce itself when it becomes the leader. Call
    /// it once, before other threads use the link.
    void watch_leader();

    using leader_hook = std::function<void(leader_announcement const&)>;

    /// Calls a hook on io threads after each switch to a leader that announced
    /// itself, one call at a time.
    ///
    /// @return Owner of the hook, which is called until it is destroyed.
    [[nodiscard]] std::shared_ptr<leader_hook const>
    on_leader(leader_hook hook);

    /// Replaces the instances to try; an empty list is ignored. The current
    /// connection stays.
    void set_instances(std::vector<core::endpoint> instances);

    /// @return Bytes sent and received so far.
    transport::traffic transferred() const;

private:
    /// Calls in progress hold weak references to it.
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::shared

#endif
