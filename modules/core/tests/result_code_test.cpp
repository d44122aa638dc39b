#include "core/results/last_reason.hpp"
#include "core/results/result_code.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace turmericswitch::core
{

namespace
{

std::vector<std::string> rows_of_the_page()
{
    std::ifstream page(TURMERICSWITCH_SOURCE_DIR "/docs/result-codes.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);)
    {
        if (line.starts_with("| ") && line.find('`') != std::string::npos)
        {
            rows.push_back(line);
        }
    }
    return rows;
}

std::string row_for(result_code_info const& info)
{
    return "| " + std::to_string(static_cast<unsigned>(info.code)) + " | `" +
           std::string(info.name) + "` | " + std::string(info.meaning) + " |";
}

} // namespace

class result_code_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(result_code_test);
    CPPUNIT_TEST(page_and_table_are_equal);
    CPPUNIT_TEST(numbers_rise_and_map_back);
    CPPUNIT_TEST(failure_keeps_its_reason);
    CPPUNIT_TEST_SUITE_END();

    // Guards against codes that operators can't look up.
    void page_and_table_are_equal()
    {
        std::vector<std::string> expected;
        for (auto const& info : result_code_table())
        {
            expected.push_back(row_for(info));
        }
        CPPUNIT_ASSERT(expected == rows_of_the_page());
    }

    // Guards against a number that is used twice.
    void numbers_rise_and_map_back()
    {
        int previous = -1;
        for (auto const& info : result_code_table())
        {
            auto const number = static_cast<std::uint16_t>(info.code);
            CPPUNIT_ASSERT(number > previous);
            CPPUNIT_ASSERT(result_code_from_number(number) == info.code);
            previous = number;
        }
        CPPUNIT_ASSERT(!result_code_from_number(9999));
    }

    // Guards against an error that loses its cause on the way up.
    void failure_keeps_its_reason()
    {
        std::optional<int> const nothing =
            fail(result_code::no_route, "no rule matches /x");
        CPPUNIT_ASSERT(!nothing);
        CPPUNIT_ASSERT(last_reason().code == result_code::no_route);
        CPPUNIT_ASSERT_EQUAL(std::string("no rule matches /x"),
                             last_reason().text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(result_code_test);

} // namespace turmericswitch::core
