#ifndef TURMERICSWITCH_CORE_CONFIG_BACKEND_SCOPE_HPP
#define TURMERICSWITCH_CORE_CONFIG_BACKEND_SCOPE_HPP

#include "core/config/configuration.hpp"

namespace turmericswitch::core
{

/// The backend server that a sidecar cares about, each part under any of its
/// names.
struct backend_scope
{
    backend_id backend;
    service_id service;
    zone_id zone;

    bool operator==(backend_scope const&) const = default;
};

/// Leaves out every rule and name that is not about the backend server.
///
/// Use it for what a sidecar receives: its size does not grow with the number
/// of teams and services.
configuration reduced_to(backend_scope const& scope,
                         configuration const& whole);

} // namespace turmericswitch::core

#endif
