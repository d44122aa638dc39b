#include "api/transfer_budget.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace turmericswitch::control
{

namespace
{

using namespace std::chrono_literals;

/// Most bytes in flight from one control instance: 35 ms of the 60 Mbit/s
/// between regions.
constexpr std::uint64_t max_bytes_in_flight = 8 * core::config_chunk_bytes;
/// A process that has waited this long comes before those that came later.
constexpr core::duration max_overtaken_time = 1s;
/// A process that waits and has not asked for this long has given up.
constexpr core::duration wait_expiry = 300ms;
constexpr core::duration min_retry_time = 10ms;
constexpr core::duration max_retry_time = 100ms;
/// A process that has not asked for this long is forgotten.
constexpr core::duration process_expiry = 10min;
/// Time beyond that on the link: round trip and scheduling at both ends.
constexpr core::duration answer_overhead = 200ms;
/// Shorter answers measure the round trip rather than the link.
constexpr std::uint64_t min_measured_bytes = 4096;

core::duration time_on_link(std::uint64_t bytes, std::uint64_t bytes_per_second)
{
    constexpr std::uint64_t us_per_second = 1'000'000;
    return core::duration(bytes * us_per_second /
                          std::max<std::uint64_t>(bytes_per_second, 1));
}

} // namespace

transfer_budget::admission transfer_budget::request(
    core::time_point now, core::client_id const& process, std::uint64_t bytes)
{
    release(now, process);
    update(now);
    auto& state = m_processes[process];
    state.last_asked = now;
    state.waiting_since = state.waiting_since.value_or(now);
    auto const needed = bytes * (waiting_before(now, state) + 1);
    if (m_in_flight > 0 && m_in_flight + needed > max_bytes_in_flight)
    {
        return {false, time_to_next_end(now)};
    }
    charge(now, process, bytes);
    return {true, {}};
}

void transfer_budget::charge(core::time_point now,
                             core::client_id const& process,
                             std::uint64_t bytes)
{
    release(now, process);
    auto& state = m_processes[process];
    state.last_asked = now;
    state.waiting_since.reset();
    auto const rate = std::min(
        state.bytes_per_second.value_or(core::slowest_link_bytes_per_second),
        core::slowest_link_bytes_per_second);
    state.sending = {
        now, now + 2 * time_on_link(bytes, rate) + answer_overhead, bytes};
    m_in_flight += bytes;
}

void transfer_budget::release(core::time_point now,
                              core::client_id const& process)
{
    auto const known = m_processes.find(process);
    if (known != m_processes.end() && known->second.sending)
    {
        measure(now, known->second);
        m_in_flight -= known->second.sending->bytes;
        known->second.sending.reset();
    }
}

void transfer_budget::measure(core::time_point now, process_state& process)
{
    auto const took = now - process.sending->begun;
    auto const bytes = process.sending->bytes;
    if (bytes >= min_measured_bytes && took.count() > 0)
    {
        constexpr std::uint64_t us_per_second = 1'000'000;
        auto const rate =
            bytes * us_per_second / static_cast<std::uint64_t>(took.count());
        process.bytes_per_second =
            (process.bytes_per_second.value_or(rate) + rate) / 2;
    }
}

bool transfer_budget::is_sending_to(core::time_point now,
                                    core::client_id const& process)
{
    update(now);
    auto const known = m_processes.find(process);
    return known != m_processes.end() && known->second.sending.has_value();
}

std::uint64_t transfer_budget::bytes_in_flight(core::time_point now)
{
    update(now);
    return m_in_flight;
}

void transfer_budget::update(core::time_point now)
{
    for (auto& [name, process] : m_processes)
    {
        if (process.sending && process.sending->until <= now)
        {
            m_in_flight -= process.sending->bytes;
            process.sending.reset();
        }
        if (now - process.last_asked > wait_expiry)
        {
            process.waiting_since.reset();
        }
    }
    std::erase_if(m_processes,
                  [now](auto const& item)
                  {
                      return !item.second.sending &&
                             now - item.second.last_asked > process_expiry;
                  });
}

std::uint64_t
transfer_budget::waiting_before(core::time_point now,
                                process_state const& process) const
{
    auto const rank = [now](process_state const& each)
    {
        constexpr auto unmeasured = std::numeric_limits<std::uint64_t>::max();
        bool const is_late = now - *each.waiting_since > max_overtaken_time;
        auto const slowness =
            is_late ? 0
                    : unmeasured - each.bytes_per_second.value_or(unmeasured);
        return std::tuple(!is_late, slowness, *each.waiting_since);
    };
    return static_cast<std::uint64_t>(std::count_if(
        m_processes.begin(),
        m_processes.end(),
        [&](auto const& item)
        {
            return &item.second != &process && item.second.waiting_since &&
                   rank(item.second) < rank(process);
        }));
}

core::duration transfer_budget::time_to_next_end(core::time_point now) const
{
    auto earliest = now + max_retry_time;
    for (auto const& [name, process] : m_processes)
    {
        if (process.sending)
        {
            // The allowance for slow links is left out: most answers end
            // before it.
            earliest = std::min(
                earliest,
                process.sending->begun +
                    time_on_link(process.sending->bytes,
                                 process.bytes_per_second.value_or(
                                     core::slowest_link_bytes_per_second)));
        }
    }
    return std::clamp<core::duration>(
        earliest - now, min_retry_time, max_retry_time);
}

} // namespace turmericswitch::control
