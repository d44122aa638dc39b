#ifndef TURMERICSWITCH_WORKFLOW_TABLE_UNKNOWN_CANCELS_HPP
#define TURMERICSWITCH_WORKFLOW_TABLE_UNKNOWN_CANCELS_HPP

#include "core/messages/commands.hpp"
#include "core/messages/workflow.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace turmericswitch::workflow
{

/// Maximum number of cancels that are kept. A group that commits 1,000 of them
/// per second still keeps each for 20 s, longer than a call may be delayed.
constexpr std::size_t max_unknown_cancels = 20'000;

/// Cancels that found no workflow. Their callers were told that there is none,
/// so a submission that arrives later must not be accepted.
///
/// Part of the replicated state. Every call costs O(log cancels).
class unknown_cancels
{
public:
    /// Has no effect if the command's `refuse_for` is zero. The cancel that
    /// expires first is dropped when there are `max_unknown_cancels`.
    void add(core::cancel_workflow const& command, core::time_point now);

    /// @return True if submissions of the workflow are refused.
    bool contains(core::submit_workflow const& submission,
                  core::time_point now) const;

    /// Removes at most `limit` expired cancels.
    void expire(core::time_point now, std::size_t limit);

    /// Restores a cancel from a snapshot.
    void restore(core::unknown_cancel_record const& record);

    /// @return All cancels, sorted by address, queue and workflow.
    std::vector<core::unknown_cancel_record> records() const;

private:
    struct name
    {
        core::queue_address address;
        /// Empty if the address is known.
        core::queue_id queue;
        core::workflow_id workflow;

        auto operator<=>(name const&) const = default;
    };

    static name name_of(core::queue_id const& queue,
                        core::queue_address const& address,
                        core::workflow_id const& workflow);
    bool contains(name const& cancelled, core::time_point now) const;

    void erase_first_to_expire();

    std::map<name, core::time_point> m_expiry;
    std::set<std::pair<core::time_point, name>> m_by_expiry;
};

} // namespace turmericswitch::workflow

#endif
