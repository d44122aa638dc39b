#include "overload/evict/victim_choice.hpp"

#include <algorithm>
#include <tuple>

namespace turmericswitch::overload
{

namespace
{

bool may_evict(eviction_claim const& claim, eviction_candidate const& each)
{
    if (!each.checkpoints || each.is_gang ||
        claim.expected != prospect::in_time)
    {
        return false;
    }
    bool const is_worse_peer = each.priority == claim.priority &&
                               each.expected > claim.expected &&
                               !each.was_evicted;
    return each.priority > claim.priority || is_worse_peer;
}

std::int64_t lost_work(eviction_candidate const& each)
{
    return each.since_checkpoint.count() * each.cpu.value();
}

} // namespace

std::vector<eviction_candidate>
choose_victims(eviction_claim const& claim,
               std::vector<eviction_candidate> candidates)
{
    std::erase_if(candidates,
                  [&claim](eviction_candidate const& each)
                  { return !may_evict(claim, each); });
    std::sort(
        candidates.begin(),
        candidates.end(),
        [](eviction_candidate const& a, eviction_candidate const& b)
        {
            return std::tuple(b.expected, b.priority, lost_work(a), a.run) <
                   std::tuple(a.expected, a.priority, lost_work(b), b.run);
        });
    return candidates;
}

} // namespace turmericswitch::overload
