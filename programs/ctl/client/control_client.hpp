#ifndef TURMERICSWITCH_CTL_CLIENT_CONTROL_CLIENT_HPP
#define TURMERICSWITCH_CTL_CLIENT_CONTROL_CLIENT_HPP

#include "core/types/ids.hpp"
#include "core/types/units.hpp"
#include "web/web.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace turmericswitch::ctl
{

/// Clock and sleep, so that tests need no real time.
struct client_clock
{
    std::function<core::time_point()> now;
    std::function<void(core::duration)> wait;
};

/// What may be done when an answer is lost.
enum class repeat_policy
{
    /// Reads, and writes that carry an operation or set a state.
    safe,
    /// Writes that could be applied twice.
    never,
};

/// End of one call.
struct control_answer
{
    core::result_code code = core::result_code::ok;
    /// For people: control's sentence, or why no instance answered.
    std::string text;
    /// JSON body; empty when no instance answered.
    std::string body;

    bool is_ok() const
    {
        return code == core::result_code::ok;
    }
};

/// Calls the leader of the control group over HTTP.
///
/// It follows 421 with Location, tries the other instances when one is
/// unreachable or knows no leader, and repeats a call whose answer was lost
/// when its policy allows. Use one per invocation; it remembers the instance
/// that answered last.
class control_client
{
public:
    /// @param instances HTTP endpoints, at least one.
    /// @param timeout For one call with all its tries. A try that has begun
    /// is finished, so a call may take 10 s longer.
    control_client(std::vector<core::endpoint> instances,
                   core::duration timeout,
                   client_clock clock);

    /// @param target Path and query, percent-encoded.
    /// @return The answer; `peer_unreachable`, `not_leader` or `no_quorum`
    /// when nothing was applied, `outcome_unknown` when it may have been.
    control_answer get(std::string const& target);
    control_answer post(std::string const& target,
                        std::string const& body,
                        repeat_policy policy);

    /// Asks every configured instance for a resource that each has of its
    /// own. No redirects are followed.
    ///
    /// @return One answer per instance, in the order of the list.
    std::vector<control_answer> get_from_each(std::string const& target);

    std::vector<core::endpoint> const& instances() const;
    client_clock const& clock() const;

private:
    class call_state;

    control_answer call(web::http_request const& request, repeat_policy policy);
    control_answer try_once(core::endpoint const& peer,
                            web::http_request const& request,
                            std::optional<core::endpoint>& leader,
                            web::http_outcome& outcome);
    void move_on(call_state& state,
                 std::optional<core::endpoint> const& leader);

    std::vector<core::endpoint> m_instances;
    core::duration m_timeout;
    client_clock m_clock;
    web::http_client m_http;
    core::endpoint m_peer;
    std::size_t m_next = 0;
};

/// @return The text with every byte but letters, digits and `-._~` written
/// as %XX, for one segment of a path.
std::string percent_encoded(std::string const& text);

} // namespace turmericswitch::ctl

#endif
