#include "core/events/event.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <string>
#include <vector>

namespace turmericswitch::core
{

class event_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_test);
    CPPUNIT_TEST(page_lists_every_event);
    CPPUNIT_TEST(numbers_rise_and_names_differ);
    CPPUNIT_TEST(text_from_outside_stays_inside_its_string);
    CPPUNIT_TEST(long_text_is_cut);
    CPPUNIT_TEST_SUITE_END();

    static std::string beginning_of_row(event_entry const& entry)
    {
        return "| " + std::to_string(static_cast<unsigned>(entry.code)) +
               " | `" + std::string(entry.name) + "` |";
    }

    // Guards against events that operators can't look up, and against rows
    // of events that no longer exist.
    void page_lists_every_event()
    {
        std::ifstream page(TURMERICSWITCH_SOURCE_DIR "/docs/events.md");
        std::vector<std::string> rows;
        for (std::string line; std::getline(page, line);)
        {
            if (line.starts_with("| ") && line.find("` |") != std::string::npos)
            {
                rows.push_back(line);
            }
        }
        CPPUNIT_ASSERT_EQUAL(all_events.size(), rows.size());
        for (std::size_t i = 0; i < rows.size(); ++i)
        {
            CPPUNIT_ASSERT_MESSAGE(
                rows[i], rows[i].starts_with(beginning_of_row(all_events[i])));
        }
    }

    // Guards against a number or name that stands for two events.
    void numbers_rise_and_names_differ()
    {
        for (std::size_t i = 0; i < all_events.size(); ++i)
        {
            CPPUNIT_ASSERT(i == 0 ||
                           all_events[i - 1].code < all_events[i].code);
            CPPUNIT_ASSERT(entry_of(all_events[i].code).name ==
                           all_events[i].name);
            for (std::size_t other = 0; other < i; ++other)
            {
                CPPUNIT_ASSERT(all_events[i].name != all_events[other].name);
            }
        }
    }

    // Guards programs that read the log: a quote, an end of line or a byte
    // that is no valid text must not end the object.
    void text_from_outside_stays_inside_its_string()
    {
        event const what{event_code::call_rejected,
                         {text_field("path", "/a\"b\\c\n\xff"),
                          number_field("after_ms", 3)}};
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"("event":202,"name":"call_rejected",)"
                        R"("path":"/a\"b\\c\u000a\u00ff","after_ms":3)"),
            to_json_members(what));
        CPPUNIT_ASSERT_EQUAL(
            std::string("E107 lines_dropped lines=text count=2"),
            to_string(event{
                event_code::lines_dropped,
                {text_field("lines", "text"), number_field("count", 2)}}));
    }

    // Guards against a caller who fills the log with one line.
    void long_text_is_cut()
    {
        event const what{event_code::call_rejected,
                         {text_field("path", std::string(100'000, 'x'))}};
        CPPUNIT_ASSERT(to_json_members(what).size() < 1000);
        CPPUNIT_ASSERT(to_string(what).size() < 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_test);

} // namespace turmericswitch::core
