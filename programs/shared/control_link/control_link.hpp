#ifndef TURMERICSWITCH_SHARED_CONTROL_LINK_CONTROL_LINK_HPP
#define TURMERICSWITCH_SHARED_CONTROL_LINK_CONTROL_LINK_HPP

#include "transport/transport.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::shared
{

/// Sends calls to the current control leader.
///
/// It starts with the configured instances, switches to the leader that an
/// instance names, and tries the next instance after a failed call. It does
/// not repeat calls, and a switch ends the open calls to the previous
/// instance. Thread-safe.
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
              transport::call_callback done);

    /// Reports that the peer that answered the last call is not the leader.
    ///
    /// @param leader RPC endpoint of the leader, if the peer knew it.
    void not_leader(std::optional<core::endpoint> const& leader);

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
