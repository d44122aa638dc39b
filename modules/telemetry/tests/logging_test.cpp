#include "core/results/last_reason.hpp"
#include "telemetry/log/line_writer.hpp"
#include "telemetry/telemetry.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace turmericswitch::telemetry
{

class logging_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(logging_test);
    CPPUNIT_TEST(lines_have_time_level_and_prefix);
    CPPUNIT_TEST(json_lines_are_whole_objects);
    CPPUNIT_TEST(no_line_of_any_thread_is_lost);
    CPPUNIT_TEST(full_buffer_delays_but_drops_nothing);
    CPPUNIT_TEST(unwritable_file_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_file = std::filesystem::temp_directory_path() /
                 ("logging_test." + std::to_string(::getpid()));
    }

    void tearDown() override
    {
        std::filesystem::remove(m_file);
    }

private:
    std::vector<std::string> lines() const
    {
        std::ifstream file(m_file);
        std::vector<std::string> all;
        for (std::string line; std::getline(file, line);)
        {
            all.push_back(line);
        }
        return all;
    }

    // Guards the form that operators search for, and against a text that
    // forges a second line.
    void lines_have_time_level_and_prefix()
    {
        logger const log("gateway");
        log.error("before");
        {
            auto const running =
                logging::start({log_level::info, m_file.string()});
            log.debug("hidden");
            log.info("a\nb");
            log.warning("c");
            log.error("d");
        }
        log.error("after");
        auto const found = lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found.size());
        std::string const time = R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z )";
        CPPUNIT_ASSERT(
            std::regex_match(found[0], std::regex(time + "info gateway: a b")));
        CPPUNIT_ASSERT(std::regex_match(
            found[1], std::regex(time + "warning gateway: c")));
        CPPUNIT_ASSERT(
            std::regex_match(found[2], std::regex(time + "error gateway: d")));
    }

    // Guards programs that read the log: a quote in a message must not end
    // its string.
    void json_lines_are_whole_objects()
    {
        {
            auto const running =
                logging::start({log_level::info, m_file.string(), true});
            logger const log("control");
            log.warning("a: \"b\" \\ c");
        }
        auto const found = lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        std::string const time = R"("\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z")";
        CPPUNIT_ASSERT(std::regex_match(
            found[0],
            std::regex(R"(\{"time":)" + time +
                       R"(,"level":"warning","part":"control",)" +
                       R"("text":"a: \\"b\\" \\\\ c"\})")));
    }

    // Guards against lines that are mixed up, or dropped when a buffer is
    // full or at the end of the process. The lines of a thread are several
    // times as long as its buffer.
    void no_line_of_any_thread_is_lost()
    {
        constexpr int per_thread = 20'000;
        {
            auto const running =
                logging::start({log_level::info, m_file.string()});
            std::vector<std::thread> threads;
            threads.reserve(4);
            for (int i = 0; i < 4; ++i)
            {
                threads.emplace_back(
                    [i]
                    {
                        logger const log("part" + std::to_string(i));
                        for (int n = 0; n < per_thread; ++n)
                        {
                            log.info(std::to_string(n));
                        }
                    });
            }
            for (auto& thread : threads)
            {
                thread.join();
            }
        }
        auto const found = lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4 * per_thread}, found.size());
        std::array<int, 4> next{};
        std::string const mark = "Z info part";
        for (auto const& line : found)
        {
            auto const at = line.find(mark);
            CPPUNIT_ASSERT(at != std::string::npos);
            auto const thread = line.substr(at + mark.size(), 1);
            auto& expected = next.at(std::stoul(thread));
            CPPUNIT_ASSERT_EQUAL(mark + thread + ": " +
                                     std::to_string(expected++),
                                 line.substr(at));
        }
    }

    // Guards against lines lost, and callers left waiting, when a buffer is
    // full. Here one line fills it, so that each call waits for the writer.
    void full_buffer_delays_but_drops_nothing()
    {
        auto const text = std::make_shared<std::ostringstream>();
        std::string expected;
        {
            line_writer writer(text, 1);
            for (int i = 0; i < 1000; ++i)
            {
                writer.add(std::to_string(i), false);
                expected += std::to_string(i) + "\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(expected, text->str());
    }

    // Guards against a daemon that runs without its log.
    void unwritable_file_is_reported()
    {
        CPPUNIT_ASSERT(!logging::start({log_level::info, "/nonexistent/log"}));
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::io_failed);
    }

    std::filesystem::path m_file;
};

CPPUNIT_TEST_SUITE_REGISTRATION(logging_test);

} // namespace turmericswitch::telemetry
