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

/// Between two rounds over all instances. An election takes about a second.
constexpr core::duration round_pause = 250ms;
/// More mean that the instances don't agree on a leader yet.
constexpr unsigned max_redirects_per_round = 3;
/// Longer than control's own limit of 5 s for a commit.
constexpr core::duration answer_timeout = 8s;

constexpr std::uint64_t highest_code = 65'535;

/// Control answered, and certainly did not apply the call.
bool is_refused_for_now(result_code code)
{
    return code == result_code::not_leader || code == result_code::no_quorum ||
           code == result_code::draining || code == result_code::not_ready;
}

/// Control answered, but can't say whether it applied the call.
bool is_unknown(result_code code)
{
    return code == result_code::timed_out ||
           code == result_code::outcome_unknown;
}

control_answer answer_of(core::endpoint const& peer,
                         web::http_response const& response)
{
    control_answer answer;
    answer.body = response.body;
    // A job also has a member `code`, so only a refusal's body is looked at.
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
            static_cast<std::uint16_t>(std::min(number, highest_code)));
        answer.code = known.value_or(answer.code);
        auto const text = json.find("text");
        answer.text = text != json.end() && text->is_string()
                          ? text->get<std::string>()
                          : answer.text;
    }
    return answer;
}

} // namespace

/// Progress of one call over several tries.
class control_client::call_state
{
public:
    explicit call_state(core::time_point until) : m_until(until) {}

    /// Keeps the newest reason; an answer outlives a failed connection.
    void note(control_answer const& failure, bool may_have_run)
    {
        m_unknown = m_unknown || may_have_run;
        if (m_last.is_ok() || failure.code != result_code::peer_unreachable ||
            m_last.code == result_code::peer_unreachable)
        {
            m_last = failure;
        }
    }

    bool time_is_up(core::time_point now) const
    {
        return now >= m_until;
    }

    control_answer give_up() const
    {
        control_answer end;
        end.code = m_unknown ? result_code::outcome_unknown : m_last.code;
        end.text = m_last.text;
        return end;
    }

    /// Followed or failed since the last pause.
    unsigned redirects = 0;
    std::set<core::endpoint> unreachable;
    std::size_t tried = 0;

private:
    core::time_point m_until;
    control_answer m_last;
    bool m_unknown = false;
};

control_client::control_client(std::vector<core::endpoint> instances,
                               core::duration timeout,
                               client_clock clock)
    : m_instances(std::move(instances)),
      m_timeout(timeout),
      m_clock(std::move(clock)),
      // A kept connection could be closed by the peer between two polls.
      m_http({.idle_connections = 0})
{
    assert(!m_instances.empty());
    m_peer = m_instances.front();
}

control_answer control_client::get(std::string const& target)
{
    return call({"GET", target, {}, ""}, repeat_policy::safe);
}

control_answer control_client::post(std::string const& target,
                                    std::string const& body,
                                    repeat_policy policy)
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
                                    repeat_policy policy)
{
    call_state state(m_clock.now() + m_timeout);
    while (true)
    {
        std::optional<core::endpoint> leader;
        auto outcome = web::http_outcome::lost;
        auto answer = try_once(m_peer, request, leader, outcome);
        bool const answered = outcome == web::http_outcome::answered;
        bool const unknown = answered ? is_unknown(answer.code)
                                      : outcome == web::http_outcome::lost;
        if (answered && !unknown && !is_refused_for_now(answer.code))
        {
            return answer;
        }
        state.note(answer, unknown && request.method != "GET");
        if (unknown && policy == repeat_policy::never)
        {
            return state.give_up();
        }
        if (!answered)
        {
            state.unreachable.insert(m_peer);
        }
        move_on(state, leader);
        if (state.time_is_up(m_clock.now()))
        {
            return state.give_up();
        }
    }
}

void control_client::move_on(call_state& state,
                             std::optional<core::endpoint> const& leader)
{
    if (m_peer == m_instances[m_next])
    {
        m_next = (m_next + 1) % m_instances.size();
    }
    if (leader && !state.unreachable.contains(*leader) &&
        state.redirects < max_redirects_per_round)
    {
        ++state.redirects;
        m_peer = *leader;
        return;
    }
    m_peer = m_instances[m_next];
    if (++state.tried % m_instances.size() == 0)
    {
        state.redirects = 0;
        state.unreachable.clear();
        m_clock.wait(round_pause);
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
    auto answer = answer_of(peer, result.response);
    if (answer.code == result_code::not_leader)
    {
        leader = shared::leader_address(result.response);
        answer.text = to_string(peer) + " is not the leader" +
                      (leader ? " and names " + to_string(*leader)
                              : std::string(" and knows none"));
    }
    return answer;
}

std::string percent_encoded(std::string const& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char const letter : text)
    {
        auto const byte = static_cast<unsigned char>(letter);
        bool const is_plain =
            byte < 128U &&
            (std::isalnum(byte) != 0 ||
             std::string_view("-._~").find(letter) != std::string_view::npos);
        if (is_plain)
        {
            encoded += letter;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace turmericswitch::ctl
