#include "api/config_payloads.hpp"

#include "wire/codec/checksum.hpp"
#include "wire/codec/message_codec.hpp"

namespace turmericswitch::control
{

config_payloads::config_payloads(
    cluster_state::configuration_state const& config)
    : m_config(config)
{
}

config_payloads::payload config_payloads::find(core::revision made,
                                               core::revision base)
{
    if (!m_config.kept(made))
    {
        return nullptr;
    }
    if (auto const known = m_payloads.find({made, base});
        known != m_payloads.end())
    {
        return known->second;
    }
    remove_outdated();
    auto created = make(made, base);
    m_payloads[{made, base}] = created;
    return created;
}

config_payloads::payload config_payloads::make(core::revision made,
                                               core::revision base)
{
    auto const next = m_config.kept(made);
    if (base == core::revision{})
    {
        auto bytes = wire::encode(*next);
        auto const checksum = wire::checksum_of(bytes);
        return std::make_shared<config_payload const>(config_payload{
            {made, base, bytes.size(), checksum}, std::move(bytes)});
    }
    auto whole = find(made, {});
    auto const previous = m_config.kept(base);
    auto bytes = previous && base < made
                     ? wire::encode(core::make_delta(*previous, *next))
                     : std::string();
    if (bytes.empty() || bytes.size() >= whole->bytes.size())
    {
        return whole;
    }
    return std::make_shared<config_payload const>(config_payload{
        {made, base, bytes.size(), whole->content.checksum}, std::move(bytes)});
}

void config_payloads::remove_outdated()
{
    std::erase_if(m_payloads,
                  [this](auto const& item)
                  { return !m_config.kept(item.first.first); });
}

} // namespace turmericswitch::control
