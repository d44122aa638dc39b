#ifndef TURMERICSWITCH_WORKFLOW_AGENT_END_NUMBERS_HPP
#define TURMERICSWITCH_WORKFLOW_AGENT_END_NUMBERS_HPP

#include "core/messages/workflow.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace turmericswitch::workflow
{

/// Consecutive numbers of ended runs, from the first to the last one.
struct end_range
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    bool operator==(end_range const&) const = default;
};

/// Which ends of one incarnation of a worker its lists have shown.
///
/// A worker numbers its ends from 1 without gaps and drops those that are
/// acknowledged. So a number that no list has shown belongs to an end that
/// could not be read, or that the worker has dropped unseen.
///
/// A row that can't be read may be of another writer and stay for good, so it
/// hides an end only for a limited time.
class end_numbers
{
public:
    /// @param is_from_start True if the incarnation has been observed since its
    ///        start, so that its first end has the number 1. Otherwise the
    ///        first list says which ends were acknowledged before.
    explicit end_numbers(bool is_from_start = false);

    /// Handles the ended runs of an answer.
    ///
    /// @param has_skipped_rows True if a row of the list could not be read.
    /// @param clock The worker's clock in the answer.
    /// @return Numbers of ends that the worker has dropped without having
    ///         listed them since the last call.
    std::vector<end_range> listed(std::vector<core::ended_run> const& ended,
                                  bool has_skipped_rows,
                                  core::duration clock);

    /// @return The highest number up to which each end was listed or dropped.
    std::uint64_t known() const noexcept;

    /// @return True if the last list may have an end that could not be read: a
    ///         skipped row takes the place of a number. Rows of other writers
    ///         take none.
    bool has_unread_end() const noexcept;

private:
    /// @param numbers Of the listed ends, in ascending order.
    /// @return The numbers that are missing between the known one and the last
    ///         listed one.
    std::vector<end_range>
    missing_in(std::vector<std::uint64_t> const& numbers) const;

    std::optional<std::uint64_t> m_known;
    bool m_has_unread_end = false;
    /// The worker's clock in the first of the last lists that may have an end
    /// that could not be read.
    std::optional<core::duration> m_unread_since;
};

} // namespace turmericswitch::workflow

#endif
