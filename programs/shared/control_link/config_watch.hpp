#ifndef TURMERICSWITCH_SHARED_CONTROL_LINK_CONFIG_WATCH_HPP
#define TURMERICSWITCH_SHARED_CONTROL_LINK_CONFIG_WATCH_HPP

#include "core/messages/registry.hpp"
#include "shared/control_link/control_link.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace turmericswitch::shared
{

/// How a process watches the configuration.
struct watch_options
{
    /// Set for a sidecar: it gets only the configuration of its backend server,
    /// and other changes do not end its poll.
    std::optional<core::backend_scope> scope = {};
    /// Longest time for which the leader holds a poll. An idle poll costs about
    /// 300 bytes, so the default is far below the control budget of 8 KB/s.
    core::duration max_wait = std::chrono::seconds(5);
    /// Called on io threads when the process has all changes that were in force
    /// when a poll was sent. The argument is that time by `process::boot_time`.
    std::function<void(core::time_point asked_at)> on_confirmed = {};
};

/// What a process has received by transfers so far, for metrics.
struct transfer_totals
{
    std::uint64_t bytes = 0;
    std::uint64_t chunks = 0;
    std::uint64_t deltas = 0;
    std::uint64_t wholes = 0;
    /// Calls for chunks without an answer, and contents that could not be used.
    std::uint64_t failures = 0;
};

/// Keeps one long poll open at the control leader and passes on each change.
///
/// Without a scope it receives changes as deltas and large configurations in
/// chunks. `on_update` gets whole configurations in any case.
class config_watch
{
public:
    /// Versions that the process has; sent with the next poll.
    struct known_state
    {
        core::revision in_force;
        core::registry_version registry;
    };

    /// Applies an answer with code `ok`.
    ///
    /// @return Versions that the process has afterwards, never lower than
    /// before.
    using update_hook = std::function<known_state(core::watch_answer const&)>;

    /// @param io Must outlive the watch, as must `link`.
    /// @param process Name shown to operators.
    /// @param on_update Called on io threads, one call at a time.
    config_watch(transport::io_pool& io,
                 control_link& link,
                 core::client_id process,
                 update_hook on_update,
                 watch_options options = {});
    /// Ends the poll; `on_update` is not called afterwards.
    ~config_watch();

    config_watch(config_watch const&) = delete;
    config_watch& operator=(config_watch const&) = delete;

    void start();

    /// @return Polls answered by the leader, for metrics.
    std::uint64_t answers() const noexcept;

    transfer_totals transfers() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::shared

#endif
