#ifndef TURMERICSWITCH_CLUSTER_STATE_TESTS_MACHINE_FIXTURE_HPP
#define TURMERICSWITCH_CLUSTER_STATE_TESTS_MACHINE_FIXTURE_HPP

#include "cluster_state/cluster_state.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace turmericswitch::cluster_state
{

/// A state machine with its log position and cluster time.
struct machine
{
    state_machine state;
    std::uint64_t index = 0;
    core::time_point now;

    core::command_reply operator()(core::command_body body,
                                   std::string const& client = "",
                                   std::uint64_t sequence = 0)
    {
        core::command_envelope envelope;
        envelope.client = core::client_id(client);
        envelope.sequence = core::sequence_number(sequence);
        envelope.cluster_time = now;
        envelope.body = std::move(body);
        return state.apply(core::log_index(++index), envelope);
    }
};

} // namespace turmericswitch::cluster_state

#endif
