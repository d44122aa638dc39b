#ifndef TURMERICSWITCH_SHARED_CONTROL_LINK_CONFIG_WATCH_HPP
#define TURMERICSWITCH_SHARED_CONTROL_LINK_CONFIG_WATCH_HPP

#include "core/messages/registry.hpp"
#include "shared/control_link/control_link.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace turmericswitch::shared
{

/// Keeps one long poll at the control leader and hands over what changed.
class config_watch
{
public:
    /// What the process has; sent with the next poll.
    struct known_state
    {
        core::revision in_force;
        core::registry_version registry;
    };

    /// Takes an answer with code `ok`.
    ///
    /// @return What the process has now. It never has less than before.
    using news_hook = std::function<known_state(core::watch_answer const&)>;

    /// @param io Must outlive the watch, as must `link`.
    /// @param process Name shown to operators.
    /// @param on_news Called on io threads, one call at a time.
    /// @param scope Set for a sidecar: it gets only the configuration of its
    /// backend server and is not woken by changes of others.
    config_watch(transport::io_pool& io,
                 control_link& link,
                 core::client_id process,
                 news_hook on_news,
                 std::optional<core::backend_scope> scope = {});
    /// Ends the poll; `on_news` is not called afterwards.
    ~config_watch();

    config_watch(config_watch const&) = delete;
    config_watch& operator=(config_watch const&) = delete;

    void start();

    /// @return Polls answered by the leader, for metrics.
    std::uint64_t answers() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace turmericswitch::shared

#endif
