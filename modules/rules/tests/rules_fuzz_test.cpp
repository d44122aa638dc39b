#include "rules/rules.hpp"

#include "core/results/last_reason.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

namespace turmericswitch::rules
{

using namespace core;

namespace
{

int below(int limit)
{
    return *rc::gen::inRange(0, limit);
}

std::string any_name()
{
    return "n" + std::to_string(below(6)) + (below(2) == 0 ? ".x" : "-y");
}

byte_count any_bytes()
{
    return byte_count(*rc::gen::inRange<std::int64_t>(0, 1LL << 45));
}

duration any_time()
{
    return duration(*rc::gen::inRange<std::int64_t>(0, 86'400'000'000));
}

std::uint32_t any_count()
{
    return static_cast<std::uint32_t>(1 + below(100));
}

rule_body any_body()
{
    switch (below(9))
    {
    case 0:
        return naming::name_declaration{
            static_cast<name_kind>(below(3)),
            {{static_cast<naming::name_scheme>(below(3)), any_name()}}};
    case 1:
        return zone_rule{zone_id(any_name()),
                         region_id(any_name()),
                         static_cast<zone_state>(below(2))};
    case 2:
        return service_rule{service_id(any_name()),
                            any_count(),
                            any_count(),
                            any_count(),
                            any_time(),
                            static_cast<std::uint32_t>(1 + below(10)),
                            any_count(),
                            any_bytes()};
    case 3:
        return route_rule{"/" + any_name(),
                          service_id(any_name()),
                          below(2) == 0
                              ? std::vector<std::string>{}
                              : std::vector<std::string>{"GET", "PUT"}};
    case 4:
        return colocation_rule{task_kind(any_name()),
                               task_kind(any_name()),
                               static_cast<colocation>(below(2))};
    case 5:
        return kind_limit_rule{task_kind(any_name()), any_count()};
    case 6:
        return priority_rule{
            task_kind(any_name()),
            static_cast<priority_class>(below(3)),
            below(2) == 0 ? std::nullopt
                          : std::optional<std::uint16_t>(
                                static_cast<std::uint16_t>(below(1440)))};
    case 7:
        return quota_rule{team_id(any_name()),
                          {millicores(below(100'000)),
                           any_bytes(),
                           accelerator_count(below(10))}};
    default:
        return leaving_rule{backend_id(any_name())};
    }
}

rule_set any_rules()
{
    rule_set rules;
    for (int left = below(20); left > 0; --left)
    {
        rule_line line;
        if (below(5) == 0)
        {
            line.comment = below(2) == 0 ? "" : "  # note: k=v # \xC3\xA9";
        }
        else
        {
            line.content = rule{any_body(), "Ann Lee", "why: x # y"};
        }
        rules.lines.push_back(line);
    }
    return rules;
}

/// Runs everything an operator's text goes through.
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
    CPPUNIT_TEST(generated_rules_survive_a_round_trip);
    CPPUNIT_TEST(random_bytes_never_crash);
    CPPUNIT_TEST(mutated_files_never_crash);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a printed file that says something else.
    void generated_rules_survive_a_round_trip()
    {
        testing::check_property("rules round trip",
                                {.seed = 11, .max_success = 300},
                                []
                                {
                                    auto const rules = any_rules();
                                    std::vector<rule_error> errors;
                                    auto const again =
                                        parse(print(rules), "f", errors);
                                    RC_ASSERT(errors.empty());
                                    RC_ASSERT(again == rules);
                                });
    }

    // Guards against crashes and silent acceptance of junk.
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

    // Guards against crashes on files cut off or damaged on the way.
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
                for (int changes = 1 + below(4); changes > 0; --changes)
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
