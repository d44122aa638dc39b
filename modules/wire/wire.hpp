#ifndef TURMERICSWITCH_WIRE_WIRE_HPP
#define TURMERICSWITCH_WIRE_WIRE_HPP

/// @file
/// Module wire: MessagePack form of the message aggregates in
/// core/messages, JSON form of the worker and job interfaces, and the
/// protocol version.
///
/// Every message is an array of its members in declaration order. Members are
/// only ever added at the end of an aggregate together with a new protocol
/// version.
///
/// Dependencies: core; msgpack-cxx and nlohmann-json in the implementation
/// only.

#include "wire/codec/message_codec.hpp"
#include "wire/codec/protocol_version.hpp"
#include "wire/json/job_json.hpp"
#include "wire/json/worker_json.hpp"

#endif
