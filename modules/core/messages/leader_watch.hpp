#ifndef TURMERICSWITCH_CORE_MESSAGES_LEADER_WATCH_HPP
#define TURMERICSWITCH_CORE_MESSAGES_LEADER_WATCH_HPP

#include "core/results/result_code.hpp"
#include "core/types/ids.hpp"
#include "core/types/units.hpp"

namespace turmericswitch::core
{

/// `/leader-watch`: asks a control instance to answer when it becomes the
/// leader of a later term, or when `max_wait` has passed.
struct leader_watch_request
{
    /// Latest term whose leader announced itself to the asking process.
    term known;
    duration max_wait{};

    bool operator==(leader_watch_request const&) const = default;
};

/// Answer to `/leader-watch`.
struct leader_watch_answer
{
    /// `ok` if the instance that answers leads, `not_leader` if the wait ended.
    result_code code = result_code::ok;
    term leader_term;
    /// Time over which the processes spread their first reports.
    duration report_within{};

    bool operator==(leader_watch_answer const&) const = default;
};

} // namespace turmericswitch::core

#endif
