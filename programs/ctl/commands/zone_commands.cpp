#include "commands/zone_commands.hpp"

#include "answers/control_answers.hpp"
#include "commands/status_wait.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

/// Sends a write that sets a state and prints its result.
///
/// @param done What holds now, for people.
/// @param reply Receives control's reply.
result_code set_state(command_context const& context,
                      std::string const& target,
                      nlohmann::json const& body,
                      std::string const& done,
                      write_reply& reply)
{
    auto const answer =
        context.client.post(target, body.dump(), repeat_policy::safe);
    if (answer.code == result_code::outcome_unknown)
    {
        return complain(context,
                        answer.code,
                        answer.text,
                        "it may have been applied; run the same command "
                        "again, a state that already holds is no change");
    }
    if (!answer.is_ok())
    {
        return report_failure(context, answer);
    }
    auto const parsed = parse_write_reply(answer.body);
    if (!parsed)
    {
        return report_last_reason(context);
    }
    reply = *parsed;
    if (context.wants_json())
    {
        context.out << answer.body << '\n';
    }
    else
    {
        context.out << done << ", revision " << reply.revision << '\n'
                    << reply.text;
    }
    return result_code::ok;
}

result_code wait_for_zone(command_context const& context,
                          std::string const& zone,
                          bool out,
                          std::uint64_t revision)
{
    auto const limit = wait_limit(context);
    if (!limit)
    {
        return result_code::ok;
    }
    return out ? wait_until_quiet(context, zone, *limit)
               : wait_until_in_force(context, revision, *limit);
}

} // namespace

result_code zone(command_context const& context)
{
    auto const author = required_author(context);
    if (!author)
    {
        return result_code::usage;
    }
    auto const name = context.words.text("ZONE").value_or("");
    bool const out = context.words.flag("out");
    nlohmann::json const body{
        {"operation", operation_name(context)},
        {"author", *author},
        {"requested_by", context.words.text("--asked-by").value_or(*author)}};
    write_reply reply;
    auto const code =
        set_state(context,
                  "/v1/zones/" + percent_encoded(name) + (out ? "/out" : "/in"),
                  body,
                  "availability zone " + name + (out ? " is out" : " is in"),
                  reply);
    return code == result_code::ok
               ? wait_for_zone(context, name, out, reply.revision)
               : code;
}

result_code drain(command_context const& context)
{
    auto const author = required_author(context);
    if (!author)
    {
        return result_code::usage;
    }
    auto const name = context.words.text("BACKEND").value_or("");
    bool const draining = context.words.flag("drain");
    nlohmann::json const body{{"operation", operation_name(context)},
                              {"author", *author},
                              {"draining", draining}};
    write_reply reply;
    return set_state(context,
                     "/v1/backends/" + percent_encoded(name) + "/drain",
                     body,
                     "backend server " + name +
                         (draining ? " drains" : " no longer drains"),
                     reply);
}

} // namespace turmericswitch::ctl
