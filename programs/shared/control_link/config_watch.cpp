#include "shared/control_link/config_watch.hpp"

#include "core/hooks/random_source.hpp"
#include "telemetry/telemetry.hpp"
#include "wire/codec/message_codec.hpp"

#include <utility>

namespace turmericswitch::shared
{

namespace
{

/// An idle poll costs about 300 bytes, so this is far below the control
/// budget of 8 KB/s.
constexpr core::duration poll_wait = std::chrono::seconds(5);
constexpr core::duration poll_timeout = poll_wait + std::chrono::seconds(2);
constexpr core::duration backoff_base = std::chrono::milliseconds(50);
constexpr core::duration backoff_cap = std::chrono::seconds(2);

} // namespace

struct config_watch::state : std::enable_shared_from_this<config_watch::state>
{
    state(transport::io_pool& pool,
          control_link& control,
          core::client_id name,
          news_hook hook,
          std::optional<core::backend_scope> wanted)
        : io(pool),
          link(control),
          process(std::move(name)),
          on_news(std::move(hook)),
          scope(std::move(wanted)),
          random(core::seeded_random(std::hash<std::string>{}(process.value())))
    {
    }

    void poll()
    {
        core::watch_request request;
        request.process = process;
        request.in_force = known.in_force;
        request.registry = known.registry;
        request.max_wait = poll_wait;
        request.scope = scope;
        link.call(
            "/watch",
            wire::encode(request),
            poll_timeout,
            [self = shared_from_this()](transport::call_result const& result)
            { self->answered(result); });
    }

    void answered(transport::call_result const& result)
    {
        std::unique_lock lock(mutex);
        if (is_stopped)
        {
            return;
        }
        auto const answer = result.outcome == transport::call_outcome::answered
                                ? wire::decode<core::watch_answer>(result.body)
                                : std::nullopt;
        bool const is_led = answer && answer->code == core::result_code::ok;
        note_leader(is_led, result);
        if (is_led)
        {
            known = on_news(*answer);
            ++answers;
            if (has_all(*answer))
            {
                failures = 0;
                lock.unlock();
                poll();
                return;
            }
        }
        else if (answer)
        {
            link.not_leader(answer->leader);
        }
        auto const wait =
            core::full_jitter(random, backoff_base, backoff_cap, failures++);
        lock.unlock();
        io.post_after(wait,
                      [self = shared_from_this()]
                      {
                          if (!self->is_stopped)
                          {
                              self->poll();
                          }
                      });
    }

    /// Logs a lost and a regained leader, not each poll.
    void note_leader(bool is_reached, transport::call_result const& result)
    {
        if (is_reached == leader_reached)
        {
            return;
        }
        leader_reached = is_reached;
        log.write(
            {is_reached ? core::event_code::control_regained
                        : core::event_code::control_lost,
             {core::text_field("process", process.value()),
              core::number_field("config_revision", known.in_force.value()),
              core::text_field("why", is_reached ? "" : why_lost(result))}});
    }

    static char const* why_lost(transport::call_result const& result)
    {
        return result.outcome == transport::call_outcome::answered
                   ? "the instance that answered knows no leader"
                   : "no answer";
    }

    /// Control answers at once while the process lacks something, so a
    /// process that could not take the news must not ask again at once.
    bool has_all(core::watch_answer const& answer) const
    {
        return known.in_force >= answer.current &&
               (scope || known.registry == answer.registry);
    }

    transport::io_pool& io;
    control_link& link;
    core::client_id process;
    news_hook on_news;
    std::optional<core::backend_scope> scope;
    core::random_source random;
    /// Guards the hook against the destructor of the owner.
    std::mutex mutex;
    std::atomic<bool> is_stopped = false;
    known_state known;
    unsigned failures = 0;
    bool leader_reached = true;
    telemetry::logger const log{"control_link"};
    std::atomic<std::uint64_t> answers = 0;
};

config_watch::config_watch(transport::io_pool& io,
                           control_link& link,
                           core::client_id process,
                           news_hook on_news,
                           std::optional<core::backend_scope> scope)
    : m_state(std::make_shared<state>(
          io, link, std::move(process), std::move(on_news), std::move(scope)))
{
}

config_watch::~config_watch()
{
    std::lock_guard const lock(m_state->mutex);
    m_state->is_stopped = true;
}

void config_watch::start()
{
    m_state->poll();
}

std::uint64_t config_watch::answers() const noexcept
{
    return m_state->answers;
}

} // namespace turmericswitch::shared
