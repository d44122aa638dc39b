#include "api/document_proposer.hpp"
#include "tests/replica_group.hpp"
#include "wire/codec/message_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::control::testing
{

using core::result_code;

class document_proposer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(document_proposer_test);
    CPPUNIT_TEST(small_change_gives_a_short_command);
    CPPUNIT_TEST(delta_has_the_effect_of_the_whole_document);
    CPPUNIT_TEST(delta_to_another_base_changes_nothing);
    CPPUNIT_TEST(document_of_the_slower_operator_is_applied_whole);
    CPPUNIT_TEST_SUITE_END();

    static core::configuration_document document_of(std::uint64_t version,
                                                    std::uint32_t priority)
    {
        core::configuration_document document;
        document.version = version;
        document.source = "{\"version\":" + std::to_string(version) + '}';
        for (int i = 0; i < 1200; ++i)
        {
            core::queue_rule rule;
            rule.queue = core::queue_id("queue-" + std::to_string(i));
            rule.host = std::string(180, 'h');
            rule.priority = i == 7 ? priority : 1;
            document.queues.push_back(rule);
            document.source += "{\"" + rule.queue.value() +
                               "\":" + std::to_string(rule.priority) + '}';
        }
        return document;
    }

    // Guards against log entries of 330 kB for a change of one queue.
    void small_change_gives_a_short_command()
    {
        auto const base = document_of(1, 1);
        auto const command = make_document_delta(base, document_of(2, 5));
        CPPUNIT_ASSERT(command.has_value());
        core::command_envelope envelope;
        envelope.body = *command;
        auto const bytes = wire::encode(envelope);
        CPPUNIT_ASSERT(bytes.size() < 1000);
        CPPUNIT_ASSERT(wire::decode<core::command_envelope>(bytes) == envelope);
        CPPUNIT_ASSERT(!make_document_delta({}, document_of(2, 5)));
    }

    // Guards against members or read-backs that differ after a delta.
    void delta_has_the_effect_of_the_whole_document()
    {
        cluster_state::configuration_state by_delta;
        cluster_state::configuration_state by_whole;
        by_delta.apply(core::apply_document{document_of(1, 1)}, {});
        by_whole.apply(core::apply_document{document_of(1, 1)}, {});
        auto const next = document_of(2, 5);
        auto const reply =
            by_delta.apply(*make_document_delta(by_delta.document(), next), {});
        CPPUNIT_ASSERT(reply.code == result_code::ok);
        by_whole.apply(core::apply_document{next}, {});
        CPPUNIT_ASSERT(by_delta.document() == next);
        CPPUNIT_ASSERT(by_delta.record() == by_whole.record());
        // A repeated, an outdated and a conflicting document.
        for (auto const& document :
             {next, document_of(1, 1), document_of(2, 6)})
        {
            auto const change =
                make_document_delta(by_delta.document(), document);
            CPPUNIT_ASSERT(by_delta.apply(*change, {}) ==
                           by_whole.apply(core::apply_document{document}, {}));
        }
        CPPUNIT_ASSERT(by_delta.record() == by_whole.record());
    }

    // Guards against a delta that is applied to a document with the same
    // version and other content, and against a damaged delta.
    void delta_to_another_base_changes_nothing()
    {
        auto const command =
            *make_document_delta(document_of(1, 1), document_of(2, 5));
        cluster_state::configuration_state config;
        config.apply(core::apply_document{document_of(1, 3)}, {});
        auto const before = config.record();
        CPPUNIT_ASSERT(config.apply(command, {}).code ==
                       result_code::document_base_mismatch);
        cluster_state::configuration_state same_base;
        same_base.apply(core::apply_document{document_of(1, 1)}, {});
        auto damaged = command;
        damaged.delta.queues.inserted.front().value.priority = 6;
        CPPUNIT_ASSERT(same_base.apply(damaged, {}).code ==
                       result_code::document_base_mismatch);
        CPPUNIT_ASSERT(config.record() == before);
    }

    // Guards against an accepted document that is lost because another
    // operator's was committed between its base and itself.
    void document_of_the_slower_operator_is_applied_whole()
    {
        replica_group group;
        auto const leader = group.wait_for_leader();
        std::vector<result_code> replies;
        auto const propose = [&](core::configuration_document document)
        {
            propose_document(group.node(leader),
                             core::apply_document{std::move(document)},
                             [&](core::command_reply const& reply)
                             { replies.push_back(reply.code); });
        };
        propose(document_of(1, 1));
        CPPUNIT_ASSERT(group.step_until([&] { return replies.size() == 1; }));
        propose(document_of(2, 2));
        propose(document_of(3, 3));
        CPPUNIT_ASSERT(group.step_until([&] { return replies.size() == 3; }));
        CPPUNIT_ASSERT(replies == std::vector(3, result_code::ok));
        auto const is_converged = [&]
        {
            return group.has_converged() &&
                   group.node(1).state().config().document() ==
                       document_of(3, 3);
        };
        CPPUNIT_ASSERT(group.step_until(is_converged));
        // One revision for each document: the refused delta made none.
        CPPUNIT_ASSERT(group.node(1).state().config().current() ==
                       core::revision(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_proposer_test);

} // namespace turmericswitch::control::testing
