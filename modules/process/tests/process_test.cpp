#include "core/results/last_reason.hpp"
#include "process/process.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace turmericswitch::process
{

class process_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(process_test);
    CPPUNIT_TEST(daemon_options_are_parsed);
    CPPUNIT_TEST(help_version_and_errors_end_the_program);
    CPPUNIT_TEST(commands_and_lists_are_parsed);
    CPPUNIT_TEST(ports_file_replaces_the_old_one);
    CPPUNIT_TEST(unwritable_ports_file_is_reported);
    CPPUNIT_TEST(stop_signal_wakes_the_waiting_thread);
    CPPUNIT_TEST(hangup_reloads_the_settings_and_ends_nothing);
    CPPUNIT_TEST_SUITE_END();

    static arguments_result daemon(std::vector<std::string> const& words)
    {
        return parse_daemon_arguments(
            {"prog", "does things", {}}, words, "1.2");
    }

    // Guards the options that scripts rely on.
    void daemon_options_are_parsed()
    {
        auto const plain = daemon({"--config", "a.ini"});
        CPPUNIT_ASSERT(plain.parsed.has_value());
        CPPUNIT_ASSERT(plain.parsed->text("--config") == "a.ini");
        CPPUNIT_ASSERT(!plain.parsed->flag("--check-config"));
        auto const check = daemon({"--check-config", "--config=b.ini"});
        CPPUNIT_ASSERT(check.parsed->flag("--check-config"));
        CPPUNIT_ASSERT(check.parsed->text("--config") == "b.ini");
    }

    // Guards exit codes: scripts must see a wrong command line.
    void help_version_and_errors_end_the_program()
    {
        auto const help = daemon({"--help"});
        CPPUNIT_ASSERT(!help.parsed && help.exit_status == 0);
        CPPUNIT_ASSERT(help.message.find("--check-config") !=
                       std::string::npos);
        auto const version = daemon({"--version"});
        CPPUNIT_ASSERT(!version.parsed && version.exit_status == 0);
        CPPUNIT_ASSERT_EQUAL(std::string("prog 1.2\n"), version.message);
        for (std::vector<std::string> const& words :
             {std::vector<std::string>{},
              {"--config"},
              {"--check-config"},
              {"--config", "a", "b"},
              {"--what"}})
        {
            auto const wrong = daemon(words);
            CPPUNIT_ASSERT(!wrong.parsed);
            CPPUNIT_ASSERT_EQUAL(2, wrong.exit_status);
            CPPUNIT_ASSERT(core::last_reason().code ==
                           core::result_code::usage);
        }
    }

    // Guards the commands of ctl.
    void commands_and_lists_are_parsed()
    {
        std::string const usage = "Usage:\n  ctl zone (out|in) <zone>...\n"
                                  "  ctl show [--at=N]\n";
        auto const zone =
            parse_arguments(usage, {"zone", "out", "a", "b"}, "1").parsed;
        CPPUNIT_ASSERT(zone->flag("zone") && zone->flag("out"));
        CPPUNIT_ASSERT(!zone->flag("in") && !zone->flag("show"));
        CPPUNIT_ASSERT(
            (zone->list("<zone>") == std::vector<std::string>{"a", "b"}));
        CPPUNIT_ASSERT(!zone->text("--at"));
    }

    static std::filesystem::path ports_path()
    {
        return std::filesystem::temp_directory_path() /
               ("process_test." + std::to_string(::getpid()));
    }

    // Guards against a half-written file and against leftovers.
    void ports_file_replaces_the_old_one()
    {
        auto const path = ports_path();
        CPPUNIT_ASSERT(write_ports_file(path.string(), {{"old", 1}}));
        CPPUNIT_ASSERT(
            write_ports_file(path.string(), {{"http", 80}, {"rpc", 65535}}));
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        CPPUNIT_ASSERT_EQUAL(std::string("http=80\nrpc=65535\n"), text.str());
        std::filesystem::remove(path);
        CPPUNIT_ASSERT(!std::filesystem::exists(path.string() + ".new"));
    }

    // Guards against a script that waits for ports nobody will write.
    void unwritable_ports_file_is_reported()
    {
        CPPUNIT_ASSERT(!write_ports_file("/nonexistent/ports", {}));
        CPPUNIT_ASSERT(core::last_reason().code ==
                       core::result_code::io_failed);
    }

    // Guards against a daemon that ends when operators tell it that its
    // settings file has changed.
    void hangup_reloads_the_settings_and_ends_nothing()
    {
        shutdown_signal stop;
        int reloads = 0;
        stop.on_settings_changed("/nonexistent",
                                 [&reloads]
                                 {
                                     ++reloads;
                                     ::kill(::getpid(), SIGTERM);
                                 });
        ::kill(::getpid(), SIGHUP);
        CPPUNIT_ASSERT_EQUAL(SIGTERM, stop.wait());
        CPPUNIT_ASSERT_EQUAL(1, reloads);
    }

    // Guards the planned stop: the signal neither kills the process nor gets
    // lost in another thread.
    void stop_signal_wakes_the_waiting_thread()
    {
        shutdown_signal stop;
        CPPUNIT_ASSERT(!stop.wait_for(core::duration(0)));
        std::thread sender([] { ::kill(::getpid(), SIGTERM); });
        CPPUNIT_ASSERT_EQUAL(SIGTERM, stop.wait());
        sender.join();
        ::kill(::getpid(), SIGINT);
        CPPUNIT_ASSERT(stop.wait_for(std::chrono::hours(1)) == SIGINT);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_test);

} // namespace turmericswitch::process
