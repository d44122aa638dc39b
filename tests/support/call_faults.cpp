#include "support/call_faults.hpp"

namespace turmericswitch::testing
{

call_fate draw_call_fate(call_faults const& faults, random_hook const& random)
{
    if (faults == call_faults{})
    {
        return call_fate::answered;
    }
    constexpr std::uint64_t percent = 100;
    auto const drawn = random(percent);
    if (drawn < faults.refused)
    {
        return call_fate::refused;
    }
    if (drawn < faults.refused + faults.failed)
    {
        return random(2) == 0 ? call_fate::failed_without_effect
                              : call_fate::failed_after_effect;
    }
    if (drawn < faults.refused + faults.failed + faults.unanswered)
    {
        switch (random(3))
        {
        case 0:
            return call_fate::request_lost;
        case 1:
            return call_fate::answer_lost;
        default:
            return call_fate::executed_late;
        }
    }
    return call_fate::answered;
}

} // namespace turmericswitch::testing
