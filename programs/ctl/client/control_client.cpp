#include "client/control_client.hpp"

#include "shared/peers/leader_address.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <set>
#include <utility>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;
using namespace std::chrono_literals;

/// Pause between two rounds over all instances; an election takes about a
/// second.
constexpr core::duration round_interval = 250ms;
/// More redirects mean that the instances don't agree on a leader yet.
constexpr unsigned max_redirects_per_round = 3;
/// Longer than control's commit timeout of 5 s.
constexpr core::duration answer_timeout = 8s;

constexpr std::uint64_t max_code = 65'535;

/// True if control certainly did not apply the call and a retry may succeed.
bool is_retryable_refusal(result_code code)
{
    return code == result_code::not_leader || code == result_code::no_quorum ||
           code == result_code::draining || code == result_code::not_ready;
}

/// True if control answered without knowing whether it applied the call.
bool is_outcome_unknown(result_code code)
{
    return code == result_code::timed_out ||
           code == result_code::outcome_unknown;
}

control_answer to_control_answer(core::endpoint const& peer,
                                 web::http_response const& response)
{
    control_answer answer;
    answer.body = response.body;
    // The body of a job also has a member `code`, its own result, so `code` is
    // read only from error responses.
    if (response.status == 200)
    {
        return answer;
    }
    answer.code = result_code::message_malformed;
    answer.text = to_string(peer) + " answered with HTTP status " +
                  std::to_string(response.status) +
                  " and no result code; is it turmericswitch-control?";
    auto const json = nlohmann::json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("code") &&
        json["code"].is_number_unsigned())
    {
        auto const number = json["code"].get<std::uint64_t>();
        auto const known = core::result_code_from_number(
            static_cast<std::uint16_t>(std::min(number, max_code)));
        answer.code = known.value_or(answer.code);
        auto const text = json.find("text");
        answer.text = text != json.end() && text->is_string()
                          ? text->get<std::string>()
                          : answer.text;
    }
    return answer;
}

} // namespace

/// Deadline and failures of one call across its attempts.
class control_client::call_state
{
public:
    explicit call_state(core::time_point deadline) : m_deadline(deadline) {}

    /// Keeps the latest failure, but a failed connection does not replace an
    /// answer from control.
    void record_failure(control_answer const& failure, bool may_be_applied)
    {
        m_may_be_applied = m_may_be_applied || may_be_applied;
        if (m_last_failure.is_ok() ||
            failure.code != result_code::peer_unreachable ||
            m_last_failure.code == result_code::peer_unreachable)
        {
            m_last_failure = failure;
        }
    }

    bool is_expired(core::time_point now) const
    {
        return now >= m_deadline;
    }

    control_answer final_failure() const
    {
        control_answer end;
        end.code = m_may_be_applied ? result_code::outcome_unknown
                                    : m_last_failure.code;
        end.text = m_last_failure.text;
        return end;
    }

    /// Redirects followed in this round.
    unsigned redirects = 0;
    /// Instances without an answer in this round.
    std::set<core::endpoint> unreachable;
    /// Configured instances chosen during the call; a multiple of their number
    /// ends a round.
    std::size_t instances_tried = 0;

private:
    core::time_point m_deadline;
    control_answer m_last_failure;
    bool m_may_be_applied = false;
};

control_client::control_client(std::vector<core::endpoint> instances,
                               core::duration timeout,
                               client_clock clock)
    : m_instances(std::move(instances)),
      m_timeout(timeout),
      m_clock(std::move(clock)),
      // The peer could close an idle connection between two polls.
      m_http({.idle_connections = 0})
{
    assert(!m_instances.empty());
    m_peer = m_instances.front();
}

control_answer control_client::get(std::string const& target)
{
    return call({"GET", target, {}, ""}, retry_policy::safe);
}

control_answer control_client::post(std::string const& target,
                                    std::string const& body,
                                    retry_policy policy)
{
    return call({"POST", target, {{"Content-Type", "application/json"}}, body},
                policy);
}

std::vector<control_answer>
control_client::get_from_each(std::string const& target)
{
    std::vector<control_answer> answers;
    for (auto const& peer : m_instances)
    {
        std::optional<core::endpoint> leader;
        auto outcome = web::http_outcome::lost;
        answers.push_back(
            try_once(peer, {"GET", target, {}, ""}, leader, outcome));
    }
    return answers;
}

std::vector<core::endpoint> const& control_client::instances() const
{
    return m_instances;
}

client_clock const& control_client::clock() const
{
    return m_clock;
}

control_answer control_client::call(web::http_request const& request,
                                    retry_policy policy)
{
    call_state state(m_clock.now() + m_timeout);
    while (true)
    {
        std::optional<core::endpoint> leader;
        auto outcome = web::http_outcome::lost;
        auto answer = try_once(m_peer, request, leader, outcome);
        bool const answered = outcome == web::http_outcome::answered;
        bool const unknown = answered ? is_outcome_unknown(answer.code)
                                      : outcome == web::http_outcome::lost;
        if (answered && !unknown && !is_retryable_refusal(answer.code))
        {
            return answer;
        }
        state.record_failure(answer, unknown && request.method != "GET");
        if (unknown && policy == retry_policy::never)
        {
            return state.final_failure();
        }
        if (!answered)
        {
            state.unreachable.insert(m_peer);
        }
        select_next_instance(state, leader);
        if (state.is_expired(m_clock.now()))
        {
            return state.final_failure();
        }
    }
}

void control_client::select_next_instance(
    call_state& state, std::optional<core::endpoint> const& leader)
{
    if (m_peer == m_instances[m_next_instance])
    {
        m_next_instance = (m_next_instance + 1) % m_instances.size();
    }
    if (leader && !state.unreachable.contains(*leader) &&
        state.redirects < max_redirects_per_round)
    {
        ++state.redirects;
        m_peer = *leader;
        return;
    }
    m_peer = m_instances[m_next_instance];
    if (++state.instances_tried % m_instances.size() == 0)
    {
        state.redirects = 0;
        state.unreachable.clear();
        m_clock.wait(round_interval);
    }
}

control_answer control_client::try_once(core::endpoint const& peer,
                                        web::http_request const& request,
                                        std::optional<core::endpoint>& leader,
                                        web::http_outcome& outcome)
{
    auto const result = m_http.request(peer, request, answer_timeout);
    outcome = result.outcome;
    if (outcome != web::http_outcome::answered)
    {
        return {result_code::peer_unreachable,
                "no answer from " + to_string(peer) + ": " + result.text,
                ""};
    }
    auto answer = to_control_answer(peer, result.response);
    if (answer.code == result_code::not_leader)
    {
        leader = shared::leader_address(result.response);
        answer.text = to_string(peer) + " is not the leader" +
                      (leader ? " and redirects to " + to_string(*leader)
                              : std::string(" and knows no leader"));
    }
    return answer;
}

std::string percent_encoded(std::string const& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char const character : text)
    {
        auto const byte = static_cast<unsigned char>(character);
        bool const is_plain =
            byte < 128U && (std::isalnum(byte) != 0 ||
                            std::string_view("-._~").find(character) !=
                                std::string_view::npos);
        if (is_plain)
        {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace turmericswitch::ctl
