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

/// Clock and sleep hooks; tests replace them to run without real delays.
struct client_clock
{
    std::function<core::time_point()> now;
    std::function<void(core::duration)> wait;
};

/// Whether a call may be sent again when its answer was lost.
enum class retry_policy
{
    /// Reads, and writes that are idempotent because they carry an operation
    /// name or set a state.
    safe,
    /// Writes that could be applied twice.
    never,
};

/// Result of one call.
struct control_answer
{
    core::result_code code = core::result_code::ok;
    /// Human-readable message of control, or the reason why no instance
    /// answered.
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
/// It follows the Location of a 421 response, tries the other instances when
/// one is unreachable or knows no leader, and retries a call whose answer was
/// lost if its policy allows. Use one client per invocation: later calls start
/// at the instance that answered last.
class control_client
{
public:
    /// @param instances HTTP endpoints, at least one.
    /// @param timeout For one call including retries. A request in progress
    /// is not aborted, so a call may take 10 s longer.
    control_client(std::vector<core::endpoint> instances,
                   core::duration timeout,
                   client_clock clock);

    /// @param target Path and query, percent-encoded.
    /// @return The answer; `peer_unreachable`, `not_leader` or `no_quorum`
    /// if the call was certainly not applied, `outcome_unknown` if it may have
    /// been.
    control_answer get(std::string const& target);
    control_answer post(std::string const& target,
                        std::string const& body,
                        retry_policy policy);

    /// Gets a resource that differs between instances from each configured
    /// instance. Redirects and retries are not used.
    ///
    /// @return One answer per instance, in the order of instances().
    std::vector<control_answer> get_from_each(std::string const& target);

    std::vector<core::endpoint> const& instances() const;
    client_clock const& clock() const;

private:
    class call_state;

    control_answer call(web::http_request const& request, retry_policy policy);
    control_answer try_once(core::endpoint const& peer,
                            web::http_request const& request,
                            std::optional<core::endpoint>& leader,
                            web::http_outcome& outcome);
    /// Chooses the named leader or else the next configured instance, and
    /// pauses after each round.
    void select_next_instance(call_state& state,
                              std::optional<core::endpoint> const& leader);

    std::vector<core::endpoint> m_instances;
    core::duration m_timeout;
    client_clock m_clock;
    web::http_client m_http;
    core::endpoint m_peer;
    std::size_t m_next_instance = 0;
};

/// Encodes one path segment or query value.
///
/// @return The text with every byte except letters, digits and `-._~` as %XX.
std::string percent_encoded(std::string const& text);

} // namespace turmericswitch::ctl

#endif
