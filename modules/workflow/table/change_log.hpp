#ifndef TURMERICSWITCH_WORKFLOW_TABLE_CHANGE_LOG_HPP
#define TURMERICSWITCH_WORKFLOW_TABLE_CHANGE_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace turmericswitch::workflow
{

/// The ids of changed objects, in the order of their changes.
///
/// Readers that derive data from the objects keep a position and update only
/// what has changed since then. The log keeps the last changes; a reader that
/// falls behind, or that reads for the first time, must derive everything
/// again.
template <typename Id>
class change_log
{
public:
    using position = std::uint64_t;

    /// Position of a reader that has read nothing.
    static constexpr position unread = 0;

    void add(Id const& id)
    {
        m_ids.push_back(id);
        if (m_ids.size() > max_kept)
        {
            m_ids.pop_front();
            ++m_first;
        }
    }

    /// Makes all readers derive everything again.
    void add_everything()
    {
        m_first = end() + 1;
        m_ids.clear();
    }

    /// Moves the reader's position to the end of the log.
    ///
    /// @return The ids that changed since the position, or `nullopt` if the log
    ///         no longer has all of them.
    std::optional<std::set<Id>> read(position& reader) const
    {
        auto const from = reader;
        reader = end();
        if (from < m_first)
        {
            return std::nullopt;
        }
        return std::set<Id>(m_ids.begin() +
                                static_cast<std::ptrdiff_t>(from - m_first),
                            m_ids.end());
    }

    /// @return Position of a reader that has read everything.
    position end() const noexcept
    {
        return m_first + m_ids.size();
    }

private:
    /// More than one command changes, so that a reader that reads after each
    /// command never falls behind.
    static constexpr std::size_t max_kept = 8192;

    std::deque<Id> m_ids;
    position m_first = unread + 1;
};

} // namespace turmericswitch::workflow

#endif
