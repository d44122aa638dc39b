#ifndef TURMERICSWITCH_OVERLOAD_ADMIT_COMMIT_DEADLINE_HPP
#define TURMERICSWITCH_OVERLOAD_ADMIT_COMMIT_DEADLINE_HPP

#include "core/types/units.hpp"

#include <optional>

namespace turmericswitch::overload
{

/// Mean time of the recent commits of a leader, as far as it is known.
class commit_time_estimate
{
public:
    /// Used without a recent commit.
    static constexpr core::duration initial = std::chrono::milliseconds(20);
    /// Bound of each commit that is added, so that a stall does not cause
    /// refusals of submissions with much time left.
    static constexpr core::duration max = std::chrono::milliseconds(300);
    /// Without an end of validity, a high estimate would stop the commits that
    /// could lower it.
    static constexpr core::duration max_age = std::chrono::seconds(10);

    void add(core::time_point now, core::duration took);

    core::duration at(core::time_point now) const;

private:
    std::optional<core::time_point> m_updated;
    core::duration m_mean{};
};

/// Why a submission can't be answered in its caller's time.
struct expired_submission
{
    /// Negative if the caller's time is over.
    core::duration time_left{};
    core::duration commit_time{};
};

/// Decides whether a submission that was not proposed yet can be committed and
/// answered in its caller's time.
///
/// @param now On a clock that counts the time of a suspension, like
///        `answer_by`.
/// @param answer_by End of the caller's time; nothing if it is not known.
/// @return Nothing if the submission should be proposed.
std::optional<expired_submission>
find_expired(core::time_point now,
             std::optional<core::time_point> answer_by,
             core::duration commit_time);

} // namespace turmericswitch::overload

#endif
