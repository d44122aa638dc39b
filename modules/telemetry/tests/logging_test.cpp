#include "core/results/last_reason.hpp"
#include "telemetry/log/line_writer.hpp"
#include "telemetry/telemetry.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <future>
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
    CPPUNIT_TEST(every_line_of_any_thread_is_written_or_counted);
    CPPUNIT_TEST(caller_never_waits_for_a_silent_reader);
    CPPUNIT_TEST(burst_is_written_in_pieces_of_whole_lines);
    CPPUNIT_TEST(event_is_written_with_number_and_fields);
    CPPUNIT_TEST(unwritable_file_is_reported);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t no_limit = 0;

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

    // Guards against lines that are mixed up, or lost without a count, when a
    // buffer is full or at the end of the process. The lines of a thread are
    // several times as long as its buffer.
    void every_line_of_any_thread_is_written_or_counted()
    {
        constexpr int per_thread = 20'000;
        {
            auto const running = logging::start(
                {log_level::info, m_file.string(), false, no_limit});
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
        std::array<int, 4> next{};
        std::size_t written = 0;
        std::size_t dropped = 0;
        std::string const mark = "Z info part";
        std::string const count = " count=";
        for (auto const& line : lines())
        {
            auto const at = line.find(mark);
            if (at == std::string::npos)
            {
                auto const number = line.find(count);
                CPPUNIT_ASSERT(line.find("lines_dropped") != std::string::npos);
                CPPUNIT_ASSERT(number != std::string::npos);
                dropped += std::stoul(line.substr(number + count.size()));
                continue;
            }
            ++written;
            auto const thread = line.substr(at + mark.size(), 1);
            auto& expected = next.at(std::stoul(thread));
            auto const number =
                std::stoi(line.substr(at + mark.size() + thread.size() + 2));
            CPPUNIT_ASSERT(number >= expected);
            CPPUNIT_ASSERT_EQUAL(mark + thread + ": " + std::to_string(number),
                                 line.substr(at));
            expected = number + 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4 * per_thread}, written + dropped);
    }

    /// Holds every write until it is released.
    class stuck_buffer : public std::stringbuf
    {
    public:
        void release()
        {
            m_released.set_value();
        }

    protected:
        std::streamsize xsputn(char const* text, std::streamsize size) override
        {
            m_may_write.wait();
            return std::stringbuf::xsputn(text, size);
        }

    private:
        std::promise<void> m_released;
        std::shared_future<void> m_may_write{m_released.get_future()};
    };

    // Guards decisions against a log that nobody reads: while the stream takes
    // nothing, every call returns, and what finds no room is counted.
    void caller_never_waits_for_a_silent_reader()
    {
        constexpr int lines_added = 1000;
        constexpr std::size_t buffer_bytes = 100;
        stuck_buffer stuck;
        auto const stream = std::make_shared<std::ostream>(&stuck);
        std::string expected;
        int written = 0;
        int dropped = 0;
        {
            line_writer writer(stream, buffer_bytes);
            for (int i = 0; i < lines_added; ++i)
            {
                auto const line = std::to_string(i);
                if (writer.add(line, true))
                {
                    ++written;
                    expected += line + "\n";
                    continue;
                }
                ++dropped;
            }
            stuck.release();
        }
        CPPUNIT_ASSERT_EQUAL(lines_added, written + dropped);
        CPPUNIT_ASSERT(dropped > 0);
        CPPUNIT_ASSERT_EQUAL(expected, stuck.str());
    }

    /// Notes the size of each write.
    class noting_buffer : public std::stringbuf
    {
    public:
        std::vector<std::string> pieces;

    protected:
        std::streamsize xsputn(char const* text, std::streamsize size) override
        {
            pieces.emplace_back(text, static_cast<std::size_t>(size));
            return std::stringbuf::xsputn(text, size);
        }
    };

    // Guards readers of a pipe: after a burst, lines had bytes missing where a
    // write was larger than a pipe takes at once.
    void burst_is_written_in_pieces_of_whole_lines()
    {
        constexpr std::size_t pipe_bytes = 4096;
        noting_buffer noting;
        auto const stream = std::make_shared<std::ostream>(&noting);
        std::string expected;
        {
            line_writer writer(stream);
            for (std::size_t i = 0; i < 300; ++i)
            {
                std::string const line(i == 150 ? 2 * pipe_bytes : i, 'x');
                CPPUNIT_ASSERT(writer.add(line, false));
                expected += line + "\n";
            }
        }
        CPPUNIT_ASSERT(expected == noting.str());
        for (auto const& piece : noting.pieces)
        {
            CPPUNIT_ASSERT(piece.ends_with('\n'));
            auto const lines = std::count(piece.begin(), piece.end(), '\n');
            CPPUNIT_ASSERT(piece.size() <= pipe_bytes || lines == 1);
        }
    }

    // Guards the form that docs/events.md describes.
    void event_is_written_with_number_and_fields()
    {
        {
            auto const running =
                logging::start({log_level::info, m_file.string(), true});
            logger("sidecar").write({core::event_code::start_unanswered,
                                     {core::text_field("task", "a.0.0.1"),
                                      core::number_field("tries", 2)}});
        }
        auto const found = lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT(found[0].ends_with(
            R"("level":"warning","part":"sidecar","event":306,)"
            R"("name":"start_unanswered","task":"a.0.0.1","tries":2})"));
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
