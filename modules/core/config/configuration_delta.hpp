#ifndef TURMERICSWITCH_CORE_CONFIG_CONFIGURATION_DELTA_HPP
#define TURMERICSWITCH_CORE_CONFIG_CONFIGURATION_DELTA_HPP

#include "core/config/configuration.hpp"
#include "core/config/list_edit.hpp"

#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::core
{

/// Turns one configuration document into another.
struct document_delta
{
    std::uint64_t version = 0;
    list_edit<queue_rule> queues;
    list_edit<pool_rule> pools;
    byte_count body_limit;
    /// Of the source, divided after each closing brace, so that one piece holds
    /// about one queue.
    list_edit<std::string> source;

    bool operator==(document_delta const&) const = default;
};

/// Turns one configuration into another.
struct configuration_delta
{
    /// All but the document and the evacuated zones; nothing if unchanged.
    /// Rules files change rarely and are small.
    std::optional<configuration> rules;
    document_delta document;
    std::vector<zone_id> evacuated;

    bool operator==(configuration_delta const&) const = default;
};

/// @return The delta for which `apply_delta(base, delta)` equals `next`.
document_delta make_delta(configuration_document const& base,
                          configuration_document const& next);
configuration_delta make_delta(configuration const& base,
                               configuration const& next);

/// @return The changed document, or nothing if the delta does not fit the base.
///         A delta may fit a base that it was not made for, so callers compare
///         checksums.
std::optional<configuration_document>
apply_delta(configuration_document const& base, document_delta const& delta);
std::optional<configuration> apply_delta(configuration const& base,
                                         configuration_delta const& delta);

} // namespace turmericswitch::core

#endif
