#include "leader/leader_watch_hub.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace turmericswitch::control
{

namespace
{

/// Upper limit of a call's `max_wait`.
constexpr core::duration max_hold = std::chrono::minutes(2);
constexpr core::duration check_interval = std::chrono::seconds(1);
/// Time in which a leader with 0.4 of a core handles one report. The processes
/// spread their reports accordingly: 57 over 17 ms, 660 over 198 ms.
constexpr core::duration time_per_report = std::chrono::microseconds(300);
/// Nine tenths of the workers are to be known 300 ms after the leadership
/// began.
constexpr core::duration longest_spread = std::chrono::milliseconds(200);

core::leader_watch_answer wait_ended()
{
    core::leader_watch_answer answer;
    answer.code = core::result_code::not_leader;
    return answer;
}

} // namespace

core::leader_watch_answer leader_watch_hub::announcement() const
{
    core::leader_watch_answer answer;
    answer.leader_term = *m_led;
    answer.report_within = m_report_within;
    return answer;
}

void leader_watch_hub::watch(core::time_point now,
                             core::leader_watch_request const& request,
                             answer_hook done)
{
    if (m_is_closed)
    {
        done(wait_ended());
        return;
    }
    if (m_led && request.known < *m_led)
    {
        done(announcement());
        return;
    }
    m_calls.push_back({request.known,
                       now + std::min(request.max_wait, max_hold),
                       std::move(done)});
}

void leader_watch_hub::answer_calls(
    std::function<bool(held_call const&)> const& is_due,
    core::leader_watch_answer const& answer)
{
    auto const first_due = std::stable_partition(
        m_calls.begin(),
        m_calls.end(),
        [&is_due](held_call const& each) { return !is_due(each); });
    std::vector<held_call> const due(std::make_move_iterator(first_due),
                                     std::make_move_iterator(m_calls.end()));
    m_calls.erase(first_due, m_calls.end());
    for (auto const& each : due)
    {
        each.done(answer);
    }
}

void leader_watch_hub::leadership_began(core::term led)
{
    m_led = led;
    m_report_within = std::min(
        time_per_report * static_cast<core::duration::rep>(m_calls.size()),
        longest_spread);
    answer_calls([led](held_call const& each) { return each.known < led; },
                 announcement());
}

void leader_watch_hub::leadership_ended()
{
    m_led.reset();
}

void leader_watch_hub::tick(core::time_point now)
{
    if (now >= m_next_check)
    {
        m_next_check = now + check_interval;
        answer_calls([now](held_call const& each) { return now >= each.until; },
                     wait_ended());
    }
}

void leader_watch_hub::close()
{
    m_is_closed = true;
    answer_calls([](held_call const&) { return true; }, wait_ended());
}

std::size_t leader_watch_hub::held() const noexcept
{
    return m_calls.size();
}

} // namespace turmericswitch::control
