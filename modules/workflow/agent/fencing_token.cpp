#include "workflow/agent/fencing_token.hpp"

namespace turmericswitch::workflow
{

namespace
{

/// With 21 bits for the term, tokens are exact in JSON numbers, which may be
/// read as floating point numbers of 53 bits.
constexpr unsigned incarnation_bits = 24;
constexpr unsigned local_bits = 8;

constexpr std::uint64_t local_mask = (std::uint64_t{1} << local_bits) - 1;

} // namespace

std::uint64_t fencing_token(core::term term, std::uint64_t incarnation)
{
    return (term.value() << (incarnation_bits + local_bits)) +
           (incarnation << local_bits);
}

std::uint64_t next_fencing_token(std::uint64_t last)
{
    bool const is_last = (last & local_mask) == local_mask;
    return is_last ? last : last + 1;
}

} // namespace turmericswitch::workflow
