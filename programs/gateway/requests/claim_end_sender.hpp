#ifndef TURMERICSWITCH_GATEWAY_REQUESTS_CLAIM_END_SENDER_HPP
#define TURMERICSWITCH_GATEWAY_REQUESTS_CLAIM_END_SENDER_HPP

#include "core/messages/commands.hpp"
#include "core/types/units.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace turmericswitch::gateway
{

/// Calls and clock that a `claim_end_sender` uses.
struct claim_end_hooks
{
    using applied_hook = std::function<void(bool is_applied)>;

    /// Sends one end to control and calls `done` once: with true if control has
    /// applied the command, with false if it may not have.
    std::function<void(core::finish_claim const& end, applied_hook done)> send;
    std::function<void(core::duration delay, std::function<void()> task)>
        run_after;
    std::function<core::time_point()> now;
    /// Counts an end that was dropped because too many wait.
    std::function<void()> dropped;
};

/// Sends the ends of claims to control, each until control has applied it or
/// the claim has expired. The key of a lost release would stay held by a
/// request that has not run.
///
/// Sends up to `max_in_flight` ends at once, and the others in order.
/// Thread-safe; sends and schedules without holding its lock.
class claim_end_sender : public std::enable_shared_from_this<claim_end_sender>
{
public:
    static constexpr std::size_t max_in_flight = 16;
    /// Ends that wait while control doesn't answer. The oldest are dropped
    /// beyond that.
    static constexpr std::size_t max_waiting = 10'000;
    static constexpr core::duration retry_delay =
        std::chrono::milliseconds(200);

    explicit claim_end_sender(claim_end_hooks hooks);

    void add(core::finish_claim end);

    /// Sends and repeats nothing more.
    void stop();

    /// @return Number of ends that were sent and not answered. The hooks are
    ///         not used after `stop` when it is zero.
    std::size_t in_flight() const;

private:
    struct claim_end
    {
        core::finish_claim command;
        core::time_point expires;
    };

    /// Sends ends that wait, as far as they may be sent now.
    void send_waiting();
    void answered(claim_end const& end, bool is_applied);
    /// @return True if the caller has to call `resume` after `retry_delay`.
    bool repeat_later(claim_end const& end);
    void resume();

    claim_end_hooks m_hooks;
    mutable std::mutex m_mutex;
    std::deque<claim_end> m_waiting;
    std::size_t m_in_flight = 0;
    bool m_is_paused = false;
    bool m_is_stopped = false;
};

} // namespace turmericswitch::gateway

#endif
