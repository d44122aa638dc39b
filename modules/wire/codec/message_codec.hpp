#ifndef TURMERICSWITCH_WIRE_CODEC_MESSAGE_CODEC_HPP
#define TURMERICSWITCH_WIRE_CODEC_MESSAGE_CODEC_HPP

#include "core/messages/commands.hpp"
#include "core/messages/consensus.hpp"
#include "core/messages/registry.hpp"
#include "core/messages/request_path.hpp"
#include "core/messages/state.hpp"
#include "core/messages/workflow.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace turmericswitch::wire
{

/// Largest message that is decoded. Requests and answers of callers are
/// limited well below this.
constexpr std::size_t max_message_bytes = 64U * 1024U * 1024U;

/// @return The MessagePack form of a message.
///
/// Defined for the types listed in message_codec.cpp; another type fails to
/// link.
template <typename Message>
std::string encode(Message const& message);

/// Decodes a message and checks types, lengths and enum ranges.
///
/// @return The message, or nothing with `message_malformed` or
/// `message_too_large` as last reason.
template <typename Message>
std::optional<Message> decode(std::string_view bytes);

} // namespace turmericswitch::wire

#endif
