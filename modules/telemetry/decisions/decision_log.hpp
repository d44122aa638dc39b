#ifndef TURMERICSWITCH_TELEMETRY_DECISIONS_DECISION_LOG_HPP
#define TURMERICSWITCH_TELEMETRY_DECISIONS_DECISION_LOG_HPP

#include "core/decisions/decision_record.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace turmericswitch::telemetry
{

/// Keeps the latest decisions for explain and writes a log line for each.
///
/// Any thread may record. Each ring has its own lock, and a thread always
/// writes to the same ring.
class decision_log
{
public:
    /// @param capacity Records kept per ring, at least 1.
    /// @param rings 1 when one thread decides; more when request threads
    /// record, at most stripe_count.
    explicit decision_log(std::size_t capacity, std::size_t rings = 1);

    /// Stores the record in place of the oldest one and logs it.
    void record(core::decision_record decision);

    /// @return The kept records about the subject, oldest first.
    std::vector<core::decision_record> find(std::string_view subject) const;

private:
    struct numbered_record
    {
        std::uint64_t number = 0;
        core::decision_record decision;
    };

    struct ring
    {
        mutable std::mutex mutex;
        std::vector<numbered_record> records;
        std::size_t next = 0;
    };

    std::size_t m_capacity;
    std::atomic<std::uint64_t> m_next_number = 0;
    std::vector<ring> m_rings;
};

} // namespace turmericswitch::telemetry

#endif
