#include "api/document_proposer.hpp"

#include "wire/codec/checksum.hpp"
#include "wire/codec/message_codec.hpp"

#include <utility>

namespace turmericswitch::control
{

std::optional<core::apply_document_delta>
make_document_delta(core::configuration_document const& base,
                    core::configuration_document const& next)
{
    auto const whole = wire::encode(next);
    core::apply_document_delta command;
    command.base_version = base.version;
    command.base_checksum = wire::checksum_of(wire::encode(base));
    command.delta = core::make_delta(base, next);
    command.checksum = wire::checksum_of(whole);
    core::command_envelope envelope;
    envelope.body = command;
    return wire::encode(envelope).size() < whole.size() / 2
               ? std::optional(std::move(command))
               : std::nullopt;
}

void propose_document(replica& node,
                      core::apply_document command,
                      replica::reply_hook done)
{
    auto delta =
        make_document_delta(node.state().config().document(), command.document);
    if (!delta)
    {
        node.propose(std::move(command), {}, {}, std::move(done));
        return;
    }
    node.propose(std::move(*delta),
                 {},
                 {},
                 [&node, command = std::move(command), done = std::move(done)](
                     core::command_reply const& reply)
                 {
                     if (reply.code ==
                         core::result_code::document_base_mismatch)
                     {
                         node.propose(command, {}, {}, done);
                         return;
                     }
                     done(reply);
                 });
}

} // namespace turmericswitch::control
