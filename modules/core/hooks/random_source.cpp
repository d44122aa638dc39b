#include "core/hooks/random_source.hpp"

#include <algorithm>
#include <cassert>

namespace turmericswitch::core
{

namespace
{

// Shifts beyond this would overflow any sensible base.
constexpr unsigned max_backoff_doublings = 20;

} // namespace

random_source seeded_random(std::uint64_t seed)
{
    return [state = seed]() mutable
    {
        state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = state;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    };
}

std::uint64_t random_below(random_source const& source, std::uint64_t limit)
{
    assert(limit > 0);
    return source() % limit;
}

double random_unit(random_source const& source)
{
    constexpr double two_to_53 = 9007199254740992.0;
    return static_cast<double>(source() >> 11) / two_to_53;
}

duration full_jitter(random_source const& source,
                     duration base,
                     duration cap,
                     unsigned attempt)
{
    unsigned const doublings = std::min(attempt, max_backoff_doublings);
    duration const limit = std::min<duration>(cap, base * (1LL << doublings));
    auto const steps = static_cast<std::uint64_t>(limit.count()) + 1;
    return duration(static_cast<std::int64_t>(random_below(source, steps)));
}

} // namespace turmericswitch::core
