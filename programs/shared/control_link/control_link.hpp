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

/// Calls the control leader, whichever instance that is.
///
/// It starts with the instances of the settings, follows the leader that an
/// instance names, and turns to the next instance when a call fails. It does
/// not repeat calls, and turning to another instance ends the calls that are
/// open at the earlier one. Any thread may use it.
class control_link
{
public:
    /// @param io Must outlive the link.
    /// @param instances Where control instances listen for other processes;
    /// not empty.
    control_link(transport::io_pool& io,
                 std::vector<core::endpoint> instances,
                 std::uint64_t random_seed);

    /// @param done Called once on an io thread.
    void call(std::string path,
              std::string body,
              core::duration timeout,
              transport::call_callback done);

    /// The answer of the last call said that its peer does not lead.
    ///
    /// @param leader Where the leader listens, if the peer knew.
    void not_leader(std::optional<core::endpoint> const& leader);

    /// Replaces the instances that calls turn to; an empty list is ignored.
    /// The connection in use stays.
    void set_instances(std::vector<core::endpoint> instances);

    /// @return Bytes sent and received so far.
    transport::traffic transferred() const;

private:
    /// Calls in progress refer to it weakly.
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::shared

#endif
