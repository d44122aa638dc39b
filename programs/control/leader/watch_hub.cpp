#include "leader/watch_hub.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::control
{

namespace
{

/// Upper limit of a poll's `max_wait`.
constexpr core::duration max_poll_time = std::chrono::seconds(30);
/// A process that has not reported for this long is no longer listed.
constexpr core::duration report_expiry = std::chrono::minutes(10);

} // namespace

watch_hub::watch_hub(cluster_state::configuration_state const& config,
                     cluster_state::backend_registry const& registry)
    : m_config(config),
      m_registry(registry),
      m_seen_revision(config.current()),
      m_seen_registry(registry.version())
{
}

void watch_hub::withhold_registry_until(core::time_point complete_at)
{
    m_registry_complete_at = complete_at;
    m_registry_is_complete = false;
}

bool watch_hub::may_send_registry(core::watch_request const& request) const
{
    // A process without a registry also gets an incomplete one: some backend
    // servers are better than none.
    bool const has_none = request.registry == core::registry_version{};
    bool const has_this_one =
        request.registry.epoch == m_registry.version().epoch;
    return !request.scope &&
           (m_registry_is_complete || has_none || has_this_one);
}

void watch_hub::watch(core::time_point now,
                      core::watch_request request,
                      answer_hook done)
{
    record_report(now, request.process, request.in_force);
    if (has_changes_for(request))
    {
        done(answer_for(request));
        return;
    }
    auto const until = now + std::min(request.max_wait, max_poll_time);
    m_polls.push_back({std::move(request), until, std::move(done)});
}

void watch_hub::record_report(core::time_point now,
                              core::client_id const& process,
                              core::revision in_force)
{
    m_processes[process] = {in_force, now};
}

bool watch_hub::has_changes_for(core::watch_request const& request) const
{
    return request.in_force < m_config.current() ||
           (may_send_registry(request) &&
            request.registry != m_registry.version());
}

core::watch_answer
watch_hub::answer_for(core::watch_request const& request) const
{
    core::watch_answer answer;
    answer.current = m_config.current();
    // A process that takes transfers gets the configuration by a
    // config_sender.
    if (request.in_force < answer.current && !request.delta_base)
    {
        answer.config = request.scope ? core::reduced_to(*request.scope,
                                                         m_config.in_force())
                                      : m_config.in_force();
    }
    if (may_send_registry(request))
    {
        m_registry.changes_since(request.registry, answer);
    }
    else
    {
        answer.registry = request.registry;
    }
    return answer;
}

void watch_hub::tick(core::time_point now)
{
    std::erase_if(m_processes,
                  [now](auto const& item)
                  { return now - item.second.received > report_expiry; });
    bool const completes_now =
        !m_registry_is_complete && now >= m_registry_complete_at;
    m_registry_is_complete = m_registry_is_complete || completes_now;
    bool const is_changed = completes_now ||
                            m_seen_revision != m_config.current() ||
                            m_seen_registry != m_registry.version();
    m_seen_revision = m_config.current();
    m_seen_registry = m_registry.version();
    std::vector<pending_poll> due;
    std::erase_if(m_polls,
                  [&](pending_poll& poll)
                  {
                      bool const is_due =
                          now >= poll.until ||
                          (is_changed && has_changes_for(poll.request));
                      if (is_due)
                      {
                          due.push_back(std::move(poll));
                      }
                      return is_due;
                  });
    for (auto const& poll : due)
    {
        poll.done(answer_for(poll.request));
    }
}

void watch_hub::close()
{
    auto const polls = std::exchange(m_polls, {});
    for (auto const& poll : polls)
    {
        core::watch_answer answer;
        answer.code = core::result_code::not_leader;
        poll.done(answer);
    }
}

std::map<core::client_id, process_report> const& watch_hub::processes() const
{
    return m_processes;
}

} // namespace turmericswitch::control
