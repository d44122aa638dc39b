#ifndef TURMERICSWITCH_GATEWAY_JOBS_QUEUE_TABLE_HPP
#define TURMERICSWITCH_GATEWAY_JOBS_QUEUE_TABLE_HPP

#include "core/config/configuration.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::gateway
{

/// Finds the queue of a call by its host and the longest prefix of its path.
///
/// Immutable; a new table is built for each configuration document.
class queue_table
{
public:
    explicit queue_table(core::configuration_document document);

    /// @return The queue, or null.
    core::queue_rule const* find(std::string_view host,
                                 std::string_view path) const;

    /// @return Version of the configuration document.
    std::uint64_t version() const noexcept;

    /// @return Largest body of a call.
    core::byte_count body_limit() const noexcept;

private:
    core::configuration_document m_document;
    /// Queues by host, longest prefix first. They point into `m_document`.
    std::map<std::string, std::vector<core::queue_rule const*>, std::less<>>
        m_hosts;
};

} // namespace turmericswitch::gateway

#endif
