#include "routing/selection/balancing_policy.hpp"

#include <utility>

namespace turmericswitch::routing
{

namespace
{

using candidates = std::span<candidate const>;

std::pair<std::size_t, std::size_t>
two_distinct_indices(std::size_t count, core::random_source const& random)
{
    auto const first = core::random_below(random, count);
    auto second = core::random_below(random, count - 1);
    second += second >= first ? 1 : 0;
    return {first, second};
}

// Compares load per slot, multiplied out to avoid a division.
bool less_loaded(candidate const& a, candidate const& b)
{
    return std::uint64_t{a.load} * b.slots < std::uint64_t{b.load} * a.slots;
}

bool lower_expected_latency(candidate const& a, candidate const& b)
{
    bool const unknown = a.latency == core::duration::zero() ||
                         b.latency == core::duration::zero();
    if (unknown)
    {
        return less_loaded(a, b);
    }
    auto const cost = [](candidate const& backend, candidate const& other)
    {
        return static_cast<double>(backend.latency.count()) *
               (backend.load + 1.0) * other.slots;
    };
    return cost(a, b) < cost(b, a);
}

// Returns the position of the best candidate, and a random one of several.
std::size_t pick_best(candidates all,
                      core::random_source const& random,
                      bool (*better)(candidate const&, candidate const&))
{
    std::size_t best = 0;
    std::size_t ties = 1;
    for (std::size_t i = 1; i < all.size(); ++i)
    {
        if (better(all[i], all[best]))
        {
            best = i;
            ties = 1;
        }
        else if (!better(all[best], all[i]))
        {
            ++ties;
            best = core::random_below(random, ties) == 0 ? i : best;
        }
    }
    return best;
}

} // namespace

balancing_policy random_policy()
{
    return [](candidates all, core::random_source const& random)
    { return core::random_below(random, all.size()); };
}

balancing_policy least_outstanding_policy()
{
    return [](candidates all, core::random_source const& random)
    { return pick_best(all, random, less_loaded); };
}

balancing_policy least_expected_latency_policy()
{
    return [](candidates all, core::random_source const& random)
    { return pick_best(all, random, lower_expected_latency); };
}

balancing_policy default_policy()
{
    return least_expected_latency_policy();
}

balancing_policy power_of_two_policy()
{
    return [](candidates all, core::random_source const& random) -> std::size_t
    {
        if (all.size() == 1)
        {
            return 0;
        }
        auto const [a, b] = two_distinct_indices(all.size(), random);
        return less_loaded(all[b], all[a]) ? b : a;
    };
}

balancing_policy power_of_two_latency_policy()
{
    return [](candidates all, core::random_source const& random) -> std::size_t
    {
        if (all.size() == 1)
        {
            return 0;
        }
        auto const [a, b] = two_distinct_indices(all.size(), random);
        return lower_expected_latency(all[b], all[a]) ? b : a;
    };
}

} // namespace turmericswitch::routing
