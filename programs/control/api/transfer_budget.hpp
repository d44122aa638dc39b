#ifndef TURMERICSWITCH_CONTROL_API_TRANSFER_BUDGET_HPP
#define TURMERICSWITCH_CONTROL_API_TRANSFER_BUDGET_HPP

#include "core/messages/config_transfer.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace turmericswitch::control
{

/// Bounds the configuration bytes that are on their way to processes: in total,
/// and to one answer per process. Processes on faster links come first, but
/// none waits more than a second behind later ones.
///
/// An answer counts as in flight until its process asks for more, or until the
/// slowest expected link has carried it. Has no I/O and reads no clock.
class transfer_budget
{
public:
    /// Whether bytes may be sent now, or when the process should ask again.
    struct admission
    {
        bool is_granted = false;
        core::duration retry_after{};
    };

    /// Asks for bytes that follow what the process has received. Ends its
    /// earlier answer.
    admission request(core::time_point now,
                      core::client_id const& process,
                      std::uint64_t bytes);

    /// Counts bytes that are sent in any case.
    void charge(core::time_point now,
                core::client_id const& process,
                std::uint64_t bytes);

    /// The process has received what was sent to it.
    void release(core::time_point now, core::client_id const& process);

    bool is_sending_to(core::time_point now, core::client_id const& process);

    std::uint64_t bytes_in_flight(core::time_point now);

private:
    struct answer
    {
        core::time_point begun;
        core::time_point until;
        std::uint64_t bytes = 0;
    };

    struct process_state
    {
        std::optional<answer> sending;
        /// When the process first asked for the bytes that it waits for.
        std::optional<core::time_point> waiting_since;
        core::time_point last_asked;
        /// Measured; nothing before the first measurement.
        std::optional<std::uint64_t> bytes_per_second;
    };

    void update(core::time_point now);
    void measure(core::time_point now, process_state& process);
    std::uint64_t waiting_before(core::time_point now,
                                 process_state const& process) const;
    core::duration time_to_next_end(core::time_point now) const;

    std::map<core::client_id, process_state> m_processes;
    std::uint64_t m_in_flight = 0;
};

} // namespace turmericswitch::control

#endif
