#include "gateway/jobs/queue_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::gateway
{

class queue_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(queue_table_test);
    CPPUNIT_TEST(longest_matching_prefix_wins);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a call that is matched to the wrong queue and so runs on
    // the wrong workers.
    void longest_matching_prefix_wins()
    {
        core::configuration_document document;
        document.version = 3;
        add(document, "short", "a.example", "/q/");
        add(document, "long", "a.example", "/q/deep/");
        add(document, "other", "b.example", "/q/");
        queue_table const table(document);
        CPPUNIT_ASSERT_EQUAL(std::string("short"),
                             find_name(table, "a.example", "/q/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("long"),
                             find_name(table, "a.example", "/q/deep/1"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"),
                             find_name(table, "b.example", "/q/deep/1"));
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             find_name(table, "b.example", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(),
                             find_name(table, "c.example", "/q/1"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, table.version());
    }

private:
    static void add(core::configuration_document& document,
                    std::string name,
                    std::string host,
                    std::string prefix)
    {
        core::queue_rule rule;
        rule.queue = core::queue_id(std::move(name));
        rule.host = std::move(host);
        rule.path_prefix = std::move(prefix);
        document.queues.push_back(std::move(rule));
    }

    static std::string find_name(queue_table const& table,
                                 std::string const& host,
                                 std::string const& path)
    {
        auto const* const queue = table.find(host, path);
        return queue == nullptr ? std::string() : queue->queue.value();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_table_test);

} // namespace turmericswitch::gateway
