#include "commands/zone_commands.hpp"

#include "answers/control_answers.hpp"
#include "commands/status_wait.hpp"

#include <nlohmann/json.hpp>

namespace turmericswitch::ctl
{

namespace
{

using core::result_code;

/// Sends an idempotent write that sets a state, and prints its result.
///
/// @param done Message that states the new state.
/// @param result Receives the answer if it is ok.
result_code set_state(command_context const& context,
                      std::string const& target,
                      nlohmann::json const& body,
                      std::string const& done,
                      write_result& result)
{
    auto const answer =
        context.client.post(target, body.dump(), retry_policy::safe);
    if (answer.code == result_code::outcome_unknown)
    {
        return report_error(
            context,
            answer.code,
            answer.text,
            "it may have been applied; run the same command "
            "again, setting the same state twice changes nothing");
    }
    if (!answer.is_ok())
    {
        return report_failure(context, answer);
    }
    auto const parsed = parse_write_result(answer.body);
    if (!parsed)
    {
        return report_last_reason(context);
    }
    result = *parsed;
    if (context.wants_json())
    {
        context.out << answer.body << '\n';
    }
    else
    {
        context.out << done << ", revision " << result.revision << '\n'
                    << result.text;
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
    auto const name = context.arguments.text("ZONE").value_or("");
    bool const out = context.arguments.flag("out");
    nlohmann::json const body{
        {"operation", operation_name(context)},
        {"author", *author},
        {"requested_by",
         context.arguments.text("--asked-by").value_or(*author)}};
    write_result result;
    auto const code =
        set_state(context,
                  "/v1/zones/" + percent_encoded(name) + (out ? "/out" : "/in"),
                  body,
                  "availability zone " + name + (out ? " is out" : " is in"),
                  result);
    return code == result_code::ok
               ? wait_for_zone(context, name, out, result.revision)
               : code;
}

result_code drain(command_context const& context)
{
    auto const author = required_author(context);
    if (!author)
    {
        return result_code::usage;
    }
    auto const name = context.arguments.text("BACKEND").value_or("");
    bool const draining = context.arguments.flag("drain");
    nlohmann::json const body{{"operation", operation_name(context)},
                              {"author", *author},
                              {"draining", draining}};
    write_result result;
    return set_state(context,
                     "/v1/backends/" + percent_encoded(name) + "/drain",
                     body,
                     "backend server " + name +
                         (draining ? " drains" : " no longer drains"),
                     result);
}

} // namespace turmericswitch::ctl
