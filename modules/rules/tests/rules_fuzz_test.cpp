#include "rules/rules.hpp"

#include "core/results/last_reason.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <fstream>
#include <sstream>

namespace turmericswitch::rules
{

using namespace core;

namespace
{

int random_below(int limit)
{
    return *rc::gen::inRange(0, limit);
}

/// Every kind of rule as it is printed; `@` stands for a name and `~` for a
/// number.
constexpr std::array<char const*, 14> templates{
    "name zone short=@ dns=@ asset=@",
    "name instance asset=@",
    "zone @ region=@ state=in",
    "zone @ region=@ state=out",
    "service @ slots=~ connections=~ queue=~ timeout=~ms attempts=3 retries=~% "
    "region-bytes=~kB/s",
    "route /@ service=@",
    "route /@ service=@ idempotent=GET,PUT",
    "may-share @ @",
    "never-share @ @",
    "limit @ per-worker=~",
    "priority @ class=batch",
    "priority @ class=urgent deadline=05:~",
    "quota @ cpu=~m memory=~B accelerators=~",
    "leaving @"};

std::string random_rule()
{
    std::string text;
    for (char const* at =
             templates[std::size_t(random_below(templates.size()))];
         *at != 0;
         ++at)
    {
        text += *at == '@'   ? "n" + std::to_string(random_below(6)) + "-x.y"
                : *at == '~' ? std::to_string(10 + random_below(50))
                             : std::string(1, *at);
    }
    return text + " # asked by Ann Lee: why: x # y";
}

std::string random_file()
{
    std::string text;
    for (int left = random_below(20); left > 0; --left)
    {
        text += random_below(5) != 0   ? random_rule()
                : random_below(2) == 0 ? ""
                                       : "  # note: k=v # \xC3\xA9";
        text += '\n';
    }
    return text;
}

/// Parses, prints, compiles and diffs a text as the programs do.
void run_all(std::string const& text)
{
    std::vector<rule_error> errors;
    auto const rules = parse(text, "f", errors);
    RC_ASSERT(rules.has_value() == errors.empty());
    if (!rules)
    {
        RC_ASSERT(errors.front().line > 0U && errors.front().column > 0U);
        return;
    }
    RC_ASSERT(parse(print(*rules), "f", errors) == rules);
    auto const config = compile(*rules, "f", errors);
    RC_ASSERT(config.has_value() == errors.empty());
    RC_ASSERT(diff(*rules, *rules).empty());
}

} // namespace

class rules_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rules_fuzz_test);
    CPPUNIT_TEST(generated_rules_round_trip);
    CPPUNIT_TEST(random_bytes_never_crash);
    CPPUNIT_TEST(mutated_files_never_crash);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a printed file that differs from the parsed one.
    void generated_rules_round_trip()
    {
        testing::check_property("rules round trip",
                                {.seed = 11, .max_success = 300},
                                []
                                {
                                    auto const text = random_file();
                                    std::vector<rule_error> errors;
                                    auto const rules = parse(text, "f", errors);
                                    RC_ASSERT(errors.empty());
                                    RC_ASSERT(print(*rules) == text);
                                    run_all(text);
                                });
    }

    // Guards against crashes on random input, and against accepting input that
    // has errors or doesn't round-trip.
    void random_bytes_never_crash()
    {
        testing::check_property("random bytes",
                                {.seed = 12, .max_success = 300},
                                []
                                {
                                    auto const bytes =
                                        *rc::gen::arbitrary<std::string>();
                                    run_all(bytes);
                                    run_all("zone " + bytes);
                                    run_all("name zone short=" + bytes);
                                });
    }

    // Guards against crashes on truncated or corrupted files.
    void mutated_files_never_crash()
    {
        std::ifstream in(std::string(TURMERICSWITCH_SOURCE_DIR) +
                         "/examples/two-users.rules");
        std::ostringstream good;
        good << in.rdbuf();
        testing::check_property(
            "mutated files",
            {.seed = 13, .max_success = 300},
            [text = good.str()]
            {
                auto bytes = text;
                for (int changes = 1 + random_below(4); changes > 0; --changes)
                {
                    auto const at =
                        *rc::gen::inRange<std::size_t>(0, bytes.size());
                    bytes[at] = *rc::gen::arbitrary<char>();
                }
                bytes.resize(*rc::gen::inRange<std::size_t>(bytes.size() / 2,
                                                            bytes.size() + 1));
                run_all(bytes);
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rules_fuzz_test);

} // namespace turmericswitch::rules
