#ifndef TURMERICSWITCH_CONTROL_LEADER_LEADER_WATCH_HUB_HPP
#define TURMERICSWITCH_CONTROL_LEADER_LEADER_WATCH_HUB_HPP

#include "core/messages/leader_watch.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace turmericswitch::control
{

/// Holds the `/leader-watch` calls of gateways and sidecars until this instance
/// becomes the leader of a later term than they know.
///
/// Every instance has one. It has no I/O and reads no clock.
class leader_watch_hub
{
public:
    using answer_hook = std::function<void(core::leader_watch_answer const&)>;

    /// Answers at once if this instance leads a later term than the process
    /// knows, else when it does or after the request's `max_wait`.
    void watch(core::time_point now,
               core::leader_watch_request const& request,
               answer_hook done);

    /// This instance leads: answers all calls that know only earlier terms.
    void leadership_began(core::term led);
    void leadership_ended();

    /// Answers calls whose wait has ended.
    void tick(core::time_point now);

    /// Answers all calls that are held or follow, so that the instance can
    /// stop.
    void close();

    /// @return Calls that are held, for metrics.
    std::size_t held() const noexcept;

private:
    struct held_call
    {
        core::term known;
        core::time_point until;
        answer_hook done;
    };

    core::leader_watch_answer announcement() const;

    /// Answers the calls for which `is_due` holds.
    void answer_calls(std::function<bool(held_call const&)> const& is_due,
                      core::leader_watch_answer const& answer);

    std::vector<held_call> m_calls;
    /// Set while this instance leads.
    std::optional<core::term> m_led;
    core::duration m_report_within{};
    core::time_point m_next_check{};
    bool m_is_closed = false;
};

} // namespace turmericswitch::control

#endif
