#ifndef TURMERICSWITCH_WIRE_WIRE_HPP
#define TURMERICSWITCH_WIRE_WIRE_HPP

/// @file
/// Module wire: MessagePack encoding of the message aggregates in
/// core/messages, JSON encoding of the worker and job interfaces, checksums of
/// encoded messages, and the protocol version.
///
/// A MessagePack message is an array of its members in declaration order. New
/// members are only added at the end of an aggregate and need a new protocol
/// version.
///
/// Dependencies: core; msgpack-cxx, nlohmann-json and xxhash in the
/// implementation only.

#include "wire/codec/checksum.hpp"
#include "wire/codec/message_codec.hpp"
#include "wire/codec/protocol_version.hpp"
#include "wire/json/job_json.hpp"
#include "wire/json/worker_json.hpp"

#endif
