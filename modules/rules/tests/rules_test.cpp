#include "rules/rules.hpp"

#include "core/results/last_reason.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace turmericswitch::rules
{

using namespace core;

namespace
{

std::string read_file(std::string const& path)
{
    std::ifstream in(std::string(TURMERICSWITCH_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::vector<rule_error> check(std::string const& text)
{
    std::vector<rule_error> errors;
    if (auto const rules = parse(text, "f", errors))
    {
        compile(*rules, "f", errors);
    }
    return errors;
}

rule_set parsed(std::string const& text)
{
    std::vector<rule_error> errors;
    auto rules = parse(text, "f", errors);
    CPPUNIT_ASSERT_MESSAGE(errors.empty() ? "" : to_string(errors[0]),
                           rules.has_value());
    return *rules;
}

void expect_error(std::string const& text,
                  result_code code,
                  std::uint32_t line,
                  std::uint32_t column)
{
    auto const errors = check(text);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t(1), errors.size());
    CPPUNIT_ASSERT_MESSAGE(to_string(errors[0]), errors[0].code == code);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, line, errors[0].line);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, column, errors[0].column);
}

} // namespace

class rules_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rules_test);
    CPPUNIT_TEST(errors_have_position_and_code);
    CPPUNIT_TEST(all_errors_are_collected);
    CPPUNIT_TEST(rules_on_one_object_under_two_names_are_found);
    CPPUNIT_TEST(names_compile_to_canonical_ids);
    CPPUNIT_TEST(diff_has_the_requesters);
    CPPUNIT_TEST(example_compiles_and_round_trips);
    CPPUNIT_TEST(code_blocks_of_the_guide_compile);
    CPPUNIT_TEST_SUITE_END();

    // Guards against errors with a wrong code, line or column.
    void errors_have_position_and_code()
    {
        std::string const by = " # asked by A: b\n";
        expect_error(
            "zone a region=r", result_code::rule_missing_requester, 1, 16);
        expect_error("zone a region=r # later\n",
                     result_code::rule_missing_requester,
                     1,
                     17);
        expect_error("\nzoo a" + by, result_code::rule_unknown_kind, 2, 1);
        expect_error("zone a" + by, result_code::rule_syntax, 1, 7);
        expect_error("zone a region=r state=up" + by,
                     result_code::rule_bad_value,
                     1,
                     23);
        expect_error(
            "zone a region=r region=r" + by, result_code::rule_syntax, 1, 17);
        expect_error("service s timeout=2parsecs" + by,
                     result_code::rule_bad_value,
                     1,
                     19);
        expect_error("route / service=s" + by, result_code::name_unknown, 1, 1);
        expect_error(
            "zone \xC3( region=r" + by, result_code::rule_not_utf8, 1, 6);
        expect_error("zone\ta" + by, result_code::rule_syntax, 1, 5);
        expect_error(std::string(max_line_bytes + 1, '#'),
                     result_code::rule_too_large,
                     1,
                     max_line_bytes + 1);
        expect_error(std::string(max_file_bytes + 1, '\n'),
                     result_code::rule_too_large,
                     1,
                     1);
    }

    // Guards against a parser that stops at the first error, so that operators
    // need one run per error, and against an unlimited number of errors.
    void all_errors_are_collected()
    {
        auto const errors = check("zoo\nzone\nlimit k # asked by A: b\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), errors.size());
        CPPUNIT_ASSERT_EQUAL(max_errors,
                             check(std::string(1000, '!') + "\n" +
                                   []
                                   {
                                       std::string text;
                                       for (int i = 0; i < 500; ++i)
                                       {
                                           text += "x\n";
                                       }
                                       return text;
                                   }())
                                 .size());
    }

    // Guards against accepting two rules for one object because they use
    // different names of it.
    void rules_on_one_object_under_two_names_are_found()
    {
        std::string const by = " # asked by A: b\n";
        std::string const names = "name zone short=az-a asset=Z1" + by;
        expect_error(names + "zone az-a region=n" + by + "zone Z1 region=n" +
                         by,
                     result_code::rule_duplicate,
                     3,
                     1);
        auto const text = names + "zone az-a region=n" + by +
                          "zone Z1 region=n state=out" + by;
        expect_error(text, result_code::rule_conflict, 3, 1);
        CPPUNIT_ASSERT(check(text)[0].expected.find("line 2") !=
                       std::string::npos);
        expect_error("may-share a b" + by + "never-share b a" + by,
                     result_code::rule_conflict,
                     2,
                     1);
        expect_error("name zone short=x asset=Z1" + by +
                         "name zone short=y asset=Z1" + by,
                     result_code::name_ambiguous,
                     2,
                     1);
    }

    // Guards against a configuration with other names than the canonical ids,
    // which no process would recognise.
    void names_compile_to_canonical_ids()
    {
        std::vector<rule_error> errors;
        auto const config =
            compile(parsed(read_file("examples/two-users.rules")), "f", errors);
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT(config->zones[2].zone == zone_id("az-c"));
        CPPUNIT_ASSERT(config->services[1].service == service_id("proofs"));
        CPPUNIT_ASSERT(config->routes[1].service == service_id("proofs"));
        CPPUNIT_ASSERT(config->leaving[0].backend == backend_id("bk-7"));
        CPPUNIT_ASSERT(config->priorities[2].deadline_minute == 330);
        CPPUNIT_ASSERT(config->quotas[0].limit.cpu == millicores(160'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), config->names.size());
    }

    // Guards against a diff that loses the requester of a change.
    void diff_has_the_requesters()
    {
        auto const a = parsed("zone a region=n # asked by A: x\n"
                              "limit k per-worker=1 # asked by B: x\n");
        auto const b =
            parsed("zone a region=n state=out # asked by C: y\n"
                   "quota t cpu=1cores memory=1GiB # asked by D: z\n");
        auto const changes = diff(a, b);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), changes.size());
        CPPUNIT_ASSERT(changes[0].kind == change_kind::removed);
        CPPUNIT_ASSERT(changes[1].kind == change_kind::added);
        CPPUNIT_ASSERT(changes[1].after->requester == "D");
        CPPUNIT_ASSERT(changes[2].kind == change_kind::changed);
        CPPUNIT_ASSERT(changes[2].after->requester == "C");
        CPPUNIT_ASSERT(diff(a, a).empty());
    }

    // Guards against an example file that the parser rejects.
    void example_compiles_and_round_trips()
    {
        auto const text = read_file("examples/two-users.rules");
        CPPUNIT_ASSERT(!text.empty());
        auto const errors = check(text);
        CPPUNIT_ASSERT_MESSAGE(errors.empty() ? "" : to_string(errors[0]),
                               errors.empty());
        CPPUNIT_ASSERT_EQUAL(text, print(parsed(text)));
    }

    // Guards against wrong examples in the guide. Every code block marked
    // "rules" is a complete file.
    void code_blocks_of_the_guide_compile()
    {
        std::istringstream guide(read_file("docs/writing-rules.md"));
        std::string line;
        std::string block;
        int blocks = 0;
        bool inside = false;
        while (std::getline(guide, line))
        {
            if (inside && line == "```")
            {
                auto const errors = check(block);
                CPPUNIT_ASSERT_MESSAGE(
                    errors.empty() ? "" : to_string(errors[0]), errors.empty());
                ++blocks;
                inside = false;
            }
            else if (inside)
            {
                block += line + '\n';
            }
            else if (line == "```rules")
            {
                inside = true;
                block.clear();
            }
        }
        CPPUNIT_ASSERT(blocks >= 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rules_test);

} // namespace turmericswitch::rules
