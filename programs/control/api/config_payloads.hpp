#ifndef TURMERICSWITCH_CONTROL_API_CONFIG_PAYLOADS_HPP
#define TURMERICSWITCH_CONTROL_API_CONFIG_PAYLOADS_HPP

#include "cluster_state/configuration/configuration_state.hpp"
#include "core/messages/config_transfer.hpp"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace turmericswitch::control
{

/// Encoded bytes that bring a process to a revision.
struct config_payload
{
    core::config_content content;
    std::string bytes;
};

/// Encodes the configuration once for all processes that have the same
/// revision.
class config_payloads
{
public:
    using payload = std::shared_ptr<config_payload const>;

    /// @param config Must outlive this object.
    explicit config_payloads(cluster_state::configuration_state const& config);

    /// @param base Revision that the process has; 0 for the whole
    ///        configuration.
    /// @return A delta if the base is kept and the delta is shorter, else the
    ///         whole configuration; null if `made` is not kept.
    payload find(core::revision made, core::revision base);

private:
    payload make(core::revision made, core::revision base);
    void remove_outdated();

    cluster_state::configuration_state const& m_config;
    std::map<std::pair<core::revision, core::revision>, payload> m_payloads;
};

} // namespace turmericswitch::control

#endif
