#include "consensus/replication/read_queue.hpp"

#include <utility>

namespace turmericswitch::consensus
{

void read_queue::add(ticket id)
{
    m_waiting.push_back(id);
}

bool read_queue::needs_round() const
{
    return m_round == 0 && !m_waiting.empty();
}

void read_queue::begin_round(std::uint64_t round, core::log_index commit)
{
    m_round = round;
    m_index = commit;
    m_in_round = std::exchange(m_waiting, {});
}

std::uint64_t read_queue::round() const
{
    return m_round;
}

std::vector<read_ready> read_queue::finish_round()
{
    std::vector<read_ready> ready;
    for (auto const id : m_in_round)
    {
        ready.push_back({id, m_index});
    }
    m_in_round.clear();
    m_round = 0;
    return ready;
}

std::vector<ticket> read_queue::clear()
{
    auto all = std::exchange(m_in_round, {});
    all.insert(all.end(), m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
    m_round = 0;
    return all;
}

} // namespace turmericswitch::consensus
