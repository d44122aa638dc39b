#include "support/property.hpp"

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <sstream>

namespace turmericswitch::testing
{

namespace
{

std::uint64_t environment_number(char const* name, std::uint64_t otherwise)
{
    char const* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

void check_property(std::string const& name,
                    property_options const& options,
                    std::function<void()> const& body)
{
    rc::detail::TestParams params;
    params.seed = environment_number("TURMERICSWITCH_FUZZ_SEED", options.seed);
    params.maxSuccess = static_cast<int>(
        environment_number("TURMERICSWITCH_FUZZ_CASES",
                           static_cast<std::uint64_t>(options.max_success)));
    params.maxSize = options.max_size;

    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    auto const outcome = rc::detail::checkTestable(body, metadata, params);
    if (outcome.is<rc::detail::SuccessResult>())
    {
        return;
    }
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    throw CppUnit::Exception(CppUnit::Message(
        name + " failed with seed " + std::to_string(params.seed), text.str()));
}

} // namespace turmericswitch::testing
