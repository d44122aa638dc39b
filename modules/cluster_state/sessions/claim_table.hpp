#ifndef TURMERICSWITCH_CLUSTER_STATE_SESSIONS_CLAIM_TABLE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_SESSIONS_CLAIM_TABLE_HPP

#include "core/messages/state.hpp"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace turmericswitch::cluster_state
{

/// Time for which a key stays claimed. Part of the interface to callers
/// (design.md section 6).
constexpr core::duration claim_lifetime = std::chrono::hours(24);
constexpr std::size_t max_key_bytes = 256;

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
    /// and has not finished; `request_malformed` if the key is empty or longer
    /// than `max_key_bytes`.
    core::result_code claim(core::claim_key const& command,
                            core::time_point now);

    /// Records the end of a request; one that did not run frees its key.
    /// Ignored if another request claimed the key.
    void finish(core::finish_claim const& command);

    /// Removes at most `limit` expired claims.
    void expire(core::time_point now, std::size_t limit);

    /// Restores a claim from a snapshot.
    void restore(core::claim_record record);

    /// @return All claims, sorted by service and key.
    std::vector<core::claim_record> records() const;

private:
    using claim_name = std::pair<core::service_id, std::string>;

    void erase(claim_name const& name);

    std::map<claim_name, core::claim_record> m_claims;
    std::set<std::pair<core::time_point, claim_name>> m_by_expiry;
};

} // namespace turmericswitch::cluster_state

#endif
