#include "shared/control_link/config_assembly.hpp"

#include "core/results/last_reason.hpp"
#include "wire/codec/checksum.hpp"
#include "wire/codec/message_codec.hpp"

#include <utility>

namespace turmericswitch::shared
{

namespace
{

std::optional<core::configuration> changed(core::configuration const& base,
                                           std::string const& bytes)
{
    auto const delta = wire::decode<core::configuration_delta>(bytes);
    return delta ? core::apply_delta(base, *delta) : std::nullopt;
}

} // namespace

void config_assembly::begin(core::config_transfer transfer)
{
    if (transfer.content != m_content)
    {
        m_content = transfer.content;
        m_bytes.clear();
    }
    if (transfer.bytes.size() == m_content.total_bytes)
    {
        m_bytes = std::move(transfer.bytes);
    }
}

core::config_content const& config_assembly::content() const noexcept
{
    return m_content;
}

bool config_assembly::is_complete() const noexcept
{
    return m_bytes.size() == m_content.total_bytes;
}

std::uint64_t config_assembly::offset() const noexcept
{
    return m_bytes.size();
}

bool config_assembly::append(std::string const& bytes)
{
    if (bytes.size() > m_content.total_bytes - m_bytes.size())
    {
        m_bytes.clear();
        return false;
    }
    m_bytes += bytes;
    return true;
}

std::optional<core::configuration>
config_assembly::finish(core::configuration const& base)
{
    auto const bytes = std::exchange(m_bytes, {});
    auto const content = std::exchange(m_content, {});
    bool const is_whole = content.base == core::revision{};
    auto next = is_whole ? wire::decode<core::configuration>(bytes)
                         : changed(base, bytes);
    bool const is_right =
        next && wire::checksum_of(is_whole ? bytes : wire::encode(*next)) ==
                    content.checksum;
    if (!is_right)
    {
        return core::fail(core::result_code::message_malformed,
                          "the transferred configuration has another checksum");
    }
    return next;
}

} // namespace turmericswitch::shared
