#include "node/membership_manager.hpp"

#include "wire/codec/message_codec.hpp"

#include <algorithm>
#include <utility>

namespace turmericswitch::control
{

namespace
{

constexpr core::duration join_interval = std::chrono::milliseconds(300);
/// Longer than the leader takes to commit the change. Short, because several
/// instances may be asked in turn that don't answer.
constexpr core::duration join_timeout = std::chrono::milliseconds(700);
constexpr core::duration change_interval = std::chrono::milliseconds(100);

/// Silence of the leader after which a member asks to join again, because it
/// may have been removed without receiving that entry. During an election it
/// may ask too; the leader answers a member that it still has without a change.
constexpr core::duration rejoin_after = std::chrono::seconds(1);

/// Silence of the leader after which it is logged, and the time between two
/// such events.
constexpr core::duration silence_report_interval = std::chrono::seconds(1);

} // namespace

membership_manager::membership_manager(
    process::event_loop& loop,
    replica& node,
    std::unique_ptr<shared::control_link> contacts,
    std::vector<core::endpoint> seeds,
    core::group_member self,
    members_hook on_members_received,
    core::event_hook on_event)
    : m_loop(loop),
      m_node(node),
      m_contacts(std::move(contacts)),
      m_seeds(std::move(seeds)),
      m_self(std::move(self)),
      m_on_members_received(std::move(on_members_received)),
      m_on_event(std::move(on_event)),
      m_started(process::event_loop::now())
{
}

void membership_manager::tick(core::time_point now)
{
    if (auto const leader = m_node.leader(); leader && leader->id == m_self.id)
    {
        m_last_led = now;
    }
    report_silent_leader(now);
    // A member with a failed disk could not do what the leader sends to it, so
    // it must not be taken in again after the group has replaced it.
    bool const may_be_outside =
        m_node.storage_failure().empty() &&
        (!is_member() || leader_silence(now) > rejoin_after);
    if (may_be_outside && !m_join_pending && now >= m_next_join)
    {
        request_join(now);
    }
    if (m_node.is_leading() && !m_change_pending && now >= m_next_change)
    {
        m_next_change = now + change_interval;
        continue_changes(now);
    }
}

core::duration membership_manager::leader_silence(core::time_point now) const
{
    return now - std::max(m_last_led,
                          m_node.last_leader_contact().value_or(m_started));
}

void membership_manager::report_silent_leader(core::time_point now)
{
    auto const silent = leader_silence(now);
    if (silent < silence_report_interval || now < m_next_silence_report)
    {
        return;
    }
    m_next_silence_report = now + silence_report_interval;
    auto const leader = m_node.leader();
    m_on_event({core::event_code::leader_silent,
                {core::text_field("leader",
                                  leader ? std::to_string(leader->id.value())
                                         : std::string("unknown")),
                 core::time_field("silent_ms", silent),
                 core::number_field("listed", is_member() ? 1 : 0),
                 core::number_field("last_index", m_node.last_index().value()),
                 core::text_field("why", absence_reason())}});
}

std::string membership_manager::absence_reason() const
{
    if (auto const& failure = m_node.storage_failure(); !failure.empty())
    {
        return "storage failed: " + failure;
    }
    return is_member() ? "no leader is elected or it can't be reached"
                       : "not a member of the group";
}

bool membership_manager::is_member() const
{
    auto const& members = m_node.membership().members;
    return std::any_of(members.begin(),
                       members.end(),
                       [this](core::group_member const& each)
                       { return each.id == m_self.id; });
}

void membership_manager::request_join(core::time_point now)
{
    m_join_pending = true;
    m_next_join = now + join_interval;
    m_contacts->set_instances(contacts());
    m_contacts->call(
        "/join",
        wire::encode(core::join_request{m_self}),
        join_timeout,
        [weak = weak_from_this(),
         &loop = m_loop](shared::control_result const& result)
        {
            auto const answer =
                result.outcome == transport::call_outcome::answered
                    ? wire::decode<core::join_answer>(result.body)
                    : std::nullopt;
            loop.post(
                [weak, answer, result]
                {
                    auto const self = weak.lock();
                    if (!self)
                    {
                        return;
                    }
                    self->m_join_pending = false;
                    if (answer && answer->code == core::result_code::ok)
                    {
                        self->m_on_members_received(answer->members);
                    }
                    else if (answer)
                    {
                        self->m_contacts->not_leader(result, answer->leader);
                    }
                });
        });
}

core::join_answer membership_manager::answer_with(core::result_code code) const
{
    core::join_answer answer;
    answer.code = code;
    if (auto const leader = m_node.leader())
    {
        answer.leader = leader->rpc;
    }
    answer.members = m_node.membership();
    return answer;
}

void membership_manager::join(core::group_member const& joiner,
                              answer_hook const& done)
{
    if (!m_node.is_leading())
    {
        done(answer_with(core::result_code::not_leader));
        return;
    }
    auto const& members = m_node.membership().members;
    bool const is_known = std::any_of(members.begin(),
                                      members.end(),
                                      [&joiner](core::group_member const& each)
                                      { return each.id == joiner.id; });
    if (is_known)
    {
        done(answer_with(core::result_code::ok));
        return;
    }
    auto learner = joiner;
    learner.learner = true;
    m_on_event({core::event_code::member_joining,
                {core::number_field("member", joiner.id.value()),
                 core::text_field("address", core::to_string(joiner.rpc)),
                 core::number_field("members", members.size())}});
    m_node.change_membership(
        consensus::membership_change_kind::add_learner,
        learner,
        [self = shared_from_this(), done](core::command_reply const& reply)
        { done(self->answer_with(reply.code)); });
}

void membership_manager::continue_changes(core::time_point now)
{
    consensus::membership_view view;
    view.self = m_node.self();
    view.members = m_node.membership();
    for (auto const& status : m_node.replication())
    {
        view.followers[status.member] = {
            status.last_answer, status.has_answered, status.has_caught_up};
    }
    auto const step = consensus::next_membership_change(view, {}, now);
    if (!step)
    {
        return;
    }
    m_change_pending = true;
    m_node.change_membership(
        step->kind,
        step->member,
        [self = shared_from_this(),
         step = *step](core::command_reply const& reply)
        {
            self->m_change_pending = false;
            if (reply.code == core::result_code::ok)
            {
                bool const is_removal =
                    step.kind == consensus::membership_change_kind::remove;
                self->m_on_event(
                    {core::event_code::member_changed,
                     {core::text_field("change",
                                       is_removal ? "removed" : "promoted"),
                      core::number_field("member", step.member.id.value()),
                      core::text_field("address",
                                       core::to_string(step.member.rpc)),
                      core::text_field("why",
                                       consensus::to_string(step.reason))}});
            }
        });
}

void membership_manager::set_seeds(std::vector<core::endpoint> seeds)
{
    m_seeds = std::move(seeds);
}

std::vector<core::endpoint> membership_manager::contacts() const
{
    auto found = m_seeds;
    for (auto const& member : m_node.membership().members)
    {
        bool const is_known =
            std::find(found.begin(), found.end(), member.rpc) != found.end();
        if (member.id != m_self.id && !is_known)
        {
            found.push_back(member.rpc);
        }
    }
    return found;
}

} // namespace turmericswitch::control
