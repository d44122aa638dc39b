#ifndef TURMERICSWITCH_CLUSTER_STATE_SESSIONS_CLAIM_TABLE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_SESSIONS_CLAIM_TABLE_HPP

#include "core/messages/state.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace turmericswitch::cluster_state
{

constexpr std::size_t max_key_bytes = 256;

/// Time for which claims of a request that has released its key are refused. A
/// copy of a claim may arrive as late as that of any other call.
constexpr core::duration release_retention = std::chrono::minutes(10);

/// Maximum number of released requests that are kept. A group that commits
/// 1,000 releases per second still keeps each for 20 s, longer than a call may
/// be delayed.
constexpr std::size_t max_released_requests = 20'000;

/// Idempotency keys and the requests that claimed them. Every call costs
/// O(log claims).
class claim_table
{
public:
    /// Claims a key for a request.
    ///
    /// @return `ok` for the first request with the key, and again for the same
    /// request until it has finished; `duplicate_request` if the request that
    /// claimed the key has run; `outcome_unknown` if another request claimed it
    /// and has not finished; `not_run` if the request has released its claim;
    /// `request_malformed` if the key is empty or longer than `max_key_bytes`.
    core::result_code claim(core::claim_key const& command,
                            core::time_point now);

    /// Records the end of a request; one that did not run frees its key, and
    /// its claims are refused for the command's `refuse_for`. Has no effect on
    /// a key that another request claimed.
    void finish(core::finish_claim const& command, core::time_point now);

    /// Removes at most `limit` expired claims and as many released requests.
    void expire(core::time_point now, std::size_t limit);

    /// Restores a claim or a released request from a snapshot.
    void restore(core::claim_record record);
    void restore(core::released_request_record const& record);

    /// @return All claims, sorted by service and key.
    std::vector<core::claim_record> records() const;

    /// @return All released requests, sorted by request.
    std::vector<core::released_request_record> released_records() const;

private:
    using claim_name = std::pair<core::service_id, std::string>;

    void erase(claim_name const& name);
    bool is_released(core::request_id const& request,
                     core::time_point now) const;
    void erase_first_released();

    std::map<claim_name, core::claim_record> m_claims;
    std::set<std::pair<core::time_point, claim_name>> m_by_expiry;
    std::map<core::request_id, core::time_point> m_released;
    std::set<std::pair<core::time_point, core::request_id>>
        m_released_by_expiry;
};

} // namespace turmericswitch::cluster_state

#endif
