#include "core/results/last_reason.hpp"

#include <utility>

namespace turmericswitch::core
{

namespace
{

thread_local reason stored_reason;

} // namespace

reason const& last_reason() noexcept
{
    return stored_reason;
}

std::nullopt_t fail(result_code code, std::string text)
{
    stored_reason = reason{code, std::move(text)};
    return std::nullopt;
}

bool fail_bool(result_code code, std::string text)
{
    fail(code, std::move(text));
    return false;
}

} // namespace turmericswitch::core
