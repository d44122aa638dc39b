#include "shared/peers/member_address.hpp"

#include <arpa/inet.h>

namespace turmericswitch::shared
{

std::optional<core::member_id>
member_id_from_address(std::string const& address)
{
    in_addr parsed{};
    if (inet_pton(AF_INET, address.c_str(), &parsed) != 1)
    {
        return std::nullopt;
    }
    return core::member_id(ntohl(parsed.s_addr));
}

} // namespace turmericswitch::shared
