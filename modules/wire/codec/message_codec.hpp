#ifndef TURMERICSWITCH_WIRE_CODEC_MESSAGE_CODEC_HPP
#define TURMERICSWITCH_WIRE_CODEC_MESSAGE_CODEC_HPP

#include "core/config/configuration_delta.hpp"
#include "core/messages/commands.hpp"
#include "core/messages/config_transfer.hpp"
#include "core/messages/consensus.hpp"
#include "core/messages/leader_watch.hpp"
#include "core/messages/registry.hpp"
#include "core/messages/request_path.hpp"
#include "core/messages/state.hpp"
#include "core/messages/workflow.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace turmericswitch::wire
{

/// Largest message that is decoded, in bytes. Requests and answers of callers
/// have much lower limits.
constexpr std::size_t max_message_bytes = 64U * 1024U * 1024U;

/// @return The MessagePack encoding of a message.
///
/// Instantiated for the types listed in message_codec.cpp; any other type
/// fails to link.
template <typename Message>
std::string encode(Message const& message);

/// Decodes a message and checks types, lengths and enum ranges.
///
/// @return The message, or nothing; last_reason() then has
/// `message_malformed` or `message_too_large`.
template <typename Message>
std::optional<Message> decode(std::string_view bytes);

} // namespace turmericswitch::wire

#endif
