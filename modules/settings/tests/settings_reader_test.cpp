#include "core/results/last_reason.hpp"
#include "settings/settings.hpp"
#include "support/property.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace turmericswitch::settings
{

using core::result_code;

class settings_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_reader_test);
    CPPUNIT_TEST(values_of_every_kind_are_read);
    CPPUNIT_TEST(every_error_is_reported_with_its_position);
    CPPUNIT_TEST(bad_values_are_refused);
    CPPUNIT_TEST(syntax_errors_have_their_line);
    CPPUNIT_TEST(long_lines_are_read_up_to_the_limit);
    CPPUNIT_TEST(unreadable_file_is_reported);
    CPPUNIT_TEST(random_text_never_crashes);
    CPPUNIT_TEST_SUITE_END();

    static std::string all_errors(settings_reader& reader)
    {
        reader.finish();
        std::string text;
        for (auto const& error : reader.errors())
        {
            text += reader.to_string(error) + "\n";
        }
        return text;
    }

    // Guards against values that are read with a wrong unit or type.
    void values_of_every_kind_are_read()
    {
        settings_reader reader("f",
                               "; comment\n[a]\nname = x y ; comment\n"
                               "count=-3\nwait = 1500 ms\nlong=2h\n"
                               "size = 3MiB\nat = 127.0.0.1:0\n"
                               "v6=[::1]:65535\nall = 1.2.3.4:5, 6.7.8.9:10\n"
                               "mode = fast\non = yes\n");
        CPPUNIT_ASSERT_EQUAL(std::string("x y"), reader.text({"a", "name"}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{-3},
                             reader.integer({"a", "count"}, {-3, 3}));
        CPPUNIT_ASSERT(reader.duration({"a", "wait"}) ==
                       std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT(reader.duration({"a", "long"}) == std::chrono::hours(2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3 << 20},
                             reader.bytes({"a", "size"}).value());
        CPPUNIT_ASSERT(
            (reader.endpoint({"a", "at"}) == core::endpoint{"127.0.0.1", 0}));
        CPPUNIT_ASSERT(
            (reader.endpoint({"a", "v6"}) == core::endpoint{"::1", 65535}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             reader.endpoints({"a", "all"}).size());
        CPPUNIT_ASSERT_EQUAL(std::string("fast"),
                             reader.one_of({"a", "mode"}, {"slow", "fast"}));
        CPPUNIT_ASSERT(reader.flag({"a", "on"}));
        CPPUNIT_ASSERT_EQUAL(std::string("d"), reader.text({"a", "no"}, "d"));
        CPPUNIT_ASSERT_EQUAL(std::string(), all_errors(reader));
    }

    // Guards against accepting a misspelt setting, and against errors with a
    // wrong line or column.
    void every_error_is_reported_with_its_position()
    {
        settings_reader reader(
            "f.ini",
            "[net]\nlisten = localhost:80\nport = 70000\ntimout = 1s\n\n"
            "[other]\nx = 1\n[net]\nport = 5\n");
        reader.endpoint({"net", "listen"});
        reader.integer({"net", "port"}, {0, 65535});
        reader.duration({"net", "timeout"});
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "f.ini:1: 104 settings_missing_key: key 'timeout' is missing "
                "in section [net]; expected a time with the unit ms, s, min "
                "or h, from 0 ms to 31622400000 ms\n"
                "f.ini:2:10: 103 settings_bad_value: key 'listen' in section "
                "[net] is 'localhost:80'; expected a numeric IP address and a "
                "port, for example 10.0.0.1:7000\n"
                "f.ini:3:8: 103 settings_bad_value: key 'port' in section "
                "[net] is '70000'; expected a number from 0 to 65535\n"
                "f.ini:4:1: 102 settings_unknown_key: key 'timout' is unknown "
                "in section [net]; expected one of listen, port, timeout\n"
                "f.ini:6:1: 102 settings_unknown_key: section [other] is "
                "unknown; expected one of net\n"
                "f.ini:9:1: 101 settings_syntax: key 'port' is already set at "
                "line 3\n"),
            all_errors(reader));
        CPPUNIT_ASSERT(core::last_reason().code ==
                       result_code::settings_missing_key);
    }

    // Guards against values that are parsed in part or overflow.
    void bad_values_are_refused()
    {
        auto const errors = [](std::string const& value, auto get)
        {
            settings_reader reader("f", "[a]\nk = " + value + "\n");
            get(reader);
            return reader.errors().size();
        };
        setting_name const name{"a", "k"};
        for (std::string const value :
             {"5", "5 m", "ms", "-1s", "1.5s", "9999999999999999h", "9000h s"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                value,
                std::size_t{1},
                errors(value, [&](settings_reader& r) { r.duration(name); }));
        }
        for (std::string const value : {"5", "5 kb", "KiB", "9999999999 GiB"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                value,
                std::size_t{1},
                errors(value, [&](settings_reader& r) { r.bytes(name); }));
        }
        for (std::string const value : {"h:1",
                                        "1.2.3.4",
                                        "1.2.3.4:",
                                        "1.2.3.4:65536",
                                        "1.2.3.4:-1",
                                        "1.2.3:4",
                                        "::1:80",
                                        "[1.2.3.4]:1",
                                        "1.2.3.4:1,"})
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                value,
                std::size_t{1},
                errors(value, [&](settings_reader& r) { r.endpoints(name); }));
        }
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            errors("", [&](settings_reader& r) { r.text(name); }));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            errors("maybe", [&](settings_reader& r) { r.flag(name); }));
    }

    // Guards against malformed lines that inih skips without an error.
    void syntax_errors_have_their_line()
    {
        settings_reader reader("f", "[a]\nk = v\nnonsense\n[b\n = x\n");
        reader.text({"a", "k"});
        CPPUNIT_ASSERT(!reader.finish());
        std::vector<int> lines;
        for (auto const& error : reader.errors())
        {
            CPPUNIT_ASSERT(error.code == result_code::settings_syntax);
            lines.push_back(error.line);
        }
        CPPUNIT_ASSERT((lines == std::vector<int>{3, 4, 5}));
    }

    // Guards against long lists of endpoints that are truncated without an
    // error.
    void long_lines_are_read_up_to_the_limit()
    {
        std::string const value(max_line_bytes - 5, 'x');
        settings_reader fits("f", "[a]\nk = " + value + "\n");
        CPPUNIT_ASSERT_EQUAL(value, fits.text({"a", "k"}));
        CPPUNIT_ASSERT_EQUAL(std::string(), all_errors(fits));
        settings_reader too_long("f", "[a]\nk = " + value + "xx\n");
        too_long.text({"a", "k"});
        CPPUNIT_ASSERT(!too_long.finish());
    }

    // Guards against an unreadable --config file without an error.
    void unreadable_file_is_reported()
    {
        CPPUNIT_ASSERT(!settings_reader::load("/nonexistent/file"));
        CPPUNIT_ASSERT(core::last_reason().code == result_code::io_failed);
    }

    // Guards against a crash on a corrupted file, and against integers that are
    // not read back as written.
    void random_text_never_crashes()
    {
        testing::check_property(
            "any_bytes",
            {.seed = 5, .max_success = 300},
            []
            {
                auto const text = *rc::gen::container<std::string>(
                    rc::gen::elementOf(std::string("[]=:;# \t\r\nab1", 13)));
                settings_reader reader("f", text);
                reader.text({"a", "b"}, "");
                reader.finish();
                auto const number = *rc::gen::arbitrary<std::int64_t>();
                settings_reader good("f", "[a]\nk = " + std::to_string(number));
                RC_ASSERT(good.integer({"a", "k"}, {INT64_MIN, INT64_MAX}) ==
                          number);
                RC_ASSERT(good.finish());
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_reader_test);

} // namespace turmericswitch::settings
