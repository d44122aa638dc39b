#include "gateway/jobs/queue_table.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::gateway
{

queue_table::queue_table(core::configuration_document document)
    : m_document(std::move(document))
{
    for (auto const& queue : m_document.queues)
    {
        m_hosts[queue.host].push_back(&queue);
    }
    for (auto& [host, queues] : m_hosts)
    {
        std::stable_sort(
            queues.begin(),
            queues.end(),
            [](core::queue_rule const* a, core::queue_rule const* b)
            { return a->path_prefix.size() > b->path_prefix.size(); });
    }
}

core::queue_rule const* queue_table::find(std::string_view host,
                                          std::string_view path) const
{
    auto const found = m_hosts.find(host);
    if (found == m_hosts.end())
    {
        return nullptr;
    }
    for (auto const* const queue : found->second)
    {
        if (path.starts_with(queue->path_prefix))
        {
            return queue;
        }
    }
    return nullptr;
}

std::uint64_t queue_table::version() const noexcept
{
    return m_document.version;
}

core::byte_count queue_table::body_limit() const noexcept
{
    return m_document.body_limit;
}

} // namespace turmericswitch::gateway
