#include "wire/codec/message_codec.hpp"

#include "core/results/last_reason.hpp"
#include "wire/codec/aggregate_members.hpp"

#include <msgpack.hpp>

#include <chrono>
#include <limits>
#include <type_traits>

namespace turmericswitch::wire
{

namespace
{

using packer = msgpack::packer<msgpack::sbuffer>;

/// Nesting limit for decoding, well above the deepest valid message.
constexpr std::size_t max_depth = 32;

template <typename T>
struct type_category
{
    static constexpr bool is_vector = false;
    static constexpr bool is_optional = false;
    static constexpr bool is_variant = false;
    static constexpr bool is_duration = false;
    static constexpr bool is_time_point = false;
};

template <typename T>
struct type_category<std::vector<T>> : type_category<void>
{
    static constexpr bool is_vector = true;
};

template <typename T>
struct type_category<std::optional<T>> : type_category<void>
{
    static constexpr bool is_optional = true;
};

template <typename... T>
struct type_category<std::variant<T...>> : type_category<void>
{
    static constexpr bool is_variant = true;
};

template <typename Rep, typename Period>
struct type_category<std::chrono::duration<Rep, Period>> : type_category<void>
{
    static constexpr bool is_duration = true;
};

template <typename Clock, typename Duration>
struct type_category<std::chrono::time_point<Clock, Duration>>
    : type_category<void>
{
    static constexpr bool is_time_point = true;
};

/// Strong ids and quantities, which have a `rep` and a `value()`.
template <typename T>
concept strong_type = requires(T const& value)
{
    typename T::rep;
    value.value();
};

/// Number of members at the end of `T` that later releases have added. They are
/// not written while they and all members after them have their default values,
/// and members that are missing when a message is read get their default
/// values. So logs and snapshots of earlier releases can be read, and processes
/// of both releases understand each other until such a member is used.
template <typename T>
constexpr std::size_t appended_members = 0;
template <>
constexpr std::size_t appended_members<core::task_record> = 5;
template <>
constexpr std::size_t appended_members<core::run_outcome> = 2;
template <>
constexpr std::size_t appended_members<core::run_placement> = 1;
template <>
constexpr std::size_t appended_members<core::stage_record> = 3;
template <>
constexpr std::size_t appended_members<core::worker_runs> = 1;
template <>
constexpr std::size_t appended_members<core::runtime_report> = 6;
template <>
constexpr std::size_t appended_members<core::runtime_grant> = 2;
template <>
constexpr std::size_t appended_members<core::run_start> = 1;
template <>
constexpr std::size_t appended_members<core::runtime_orders> = 1;
template <>
constexpr std::size_t appended_members<core::workflow_progress> = 4;
template <>
constexpr std::size_t appended_members<core::state_snapshot> = 3;
template <>
constexpr std::size_t appended_members<core::cancel_workflow> = 2;
template <>
constexpr std::size_t appended_members<core::submit_workflow> = 1;
template <>
constexpr std::size_t appended_members<core::unknown_cancel_record> = 1;
template <>
constexpr std::size_t appended_members<core::workflow_query> = 1;
template <>
constexpr std::size_t appended_members<core::finish_claim> = 1;
template <>
constexpr std::size_t appended_members<core::watch_request> = 1;
template <>
constexpr std::size_t appended_members<core::watch_answer> = 1;
template <>
constexpr std::size_t appended_members<core::command_reply> = 1;
template <>
constexpr std::size_t appended_members<core::command_envelope> = 1;
template <>
constexpr std::size_t appended_members<core::group_member> = 1;
template <>
constexpr std::size_t appended_members<core::consensus_message> = 1;

/// @return Number of members to write: all but the appended ones at the end
///         that have their default values.
template <typename T>
std::size_t written_members(T const& value)
{
    std::size_t written = member_count<T>() - appended_members<T>;
    if constexpr (appended_members < T >> 0)
    {
        static T const defaults{};
        std::size_t const first_appended = written;
        std::size_t position = 0;
        auto const compare = [&](auto const& member, auto const& other)
        {
            ++position;
            if (position > first_appended && !(member == other))
            {
                written = position;
            }
        };
        visit_members(value,
                      [&](auto const&... member)
                      {
                          visit_members(defaults,
                                        [&](auto const&... other)
                                        { (compare(member, other), ...); });
                      });
    }
    return written;
}

template <typename T>
void write(packer& out, T const& value)
{
    if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::string> ||
                  std::is_integral_v<T>)
    {
        out.pack(value);
    }
    else if constexpr (std::is_enum_v<T>)
    {
        out.pack(static_cast<std::underlying_type_t<T>>(value));
    }
    else if constexpr (type_category<T>::is_duration)
    {
        out.pack(static_cast<std::int64_t>(value.count()));
    }
    else if constexpr (type_category<T>::is_time_point)
    {
        write(out, value.time_since_epoch());
    }
    else if constexpr (type_category<T>::is_vector)
    {
        out.pack_array(static_cast<std::uint32_t>(value.size()));
        for (auto const& element : value)
        {
            write(out, element);
        }
    }
    else if constexpr (type_category<T>::is_optional)
    {
        out.pack_array(value ? 1 : 0);
        if (value)
        {
            write(out, *value);
        }
    }
    else if constexpr (type_category<T>::is_variant)
    {
        out.pack_array(2);
        out.pack(static_cast<std::uint32_t>(value.index()));
        std::visit([&out](auto const& held) { write(out, held); }, value);
    }
    else if constexpr (strong_type<T>)
    {
        write(out, value.value());
    }
    else
    {
        auto const count = written_members(value);
        out.pack_array(static_cast<std::uint32_t>(count));
        std::size_t position = 0;
        auto const write_next = [&](auto const& member)
        {
            if (position++ < count)
            {
                write(out, member);
            }
        };
        visit_members(
            value, [&](auto const&... member) { (write_next(member), ...); });
    }
}

template <typename T>
bool read(msgpack::object const& in, T& value);

template <typename T>
bool read_integer(msgpack::object const& in, T& value)
{
    if (in.type == msgpack::type::POSITIVE_INTEGER)
    {
        value = static_cast<T>(in.via.u64);
        return std::in_range<T>(in.via.u64);
    }
    if (in.type == msgpack::type::NEGATIVE_INTEGER)
    {
        value = static_cast<T>(in.via.i64);
        return std::in_range<T>(in.via.i64);
    }
    return false;
}

/// @return The largest valid value of an enum that messages contain.
template <typename T>
constexpr std::underlying_type_t<T> last_enumerator()
{
    using namespace core;
    if constexpr (std::is_same_v<T, attempt_outcome>)
    {
        return static_cast<std::uint8_t>(attempt_outcome::unknown);
    }
    else if constexpr (std::is_same_v<T, cancel_outcome>)
    {
        return static_cast<std::uint8_t>(cancel_outcome::wrong_incarnation);
    }
    else if constexpr (std::is_same_v<T, name_kind>)
    {
        return static_cast<std::uint8_t>(name_kind::service);
    }
    else if constexpr (std::is_same_v<T, zone_state>)
    {
        return static_cast<std::uint8_t>(zone_state::out_of_service);
    }
    else if constexpr (std::is_same_v<T, colocation>)
    {
        return static_cast<std::uint8_t>(colocation::never_share);
    }
    else if constexpr (std::is_same_v<T, priority_class>)
    {
        return static_cast<std::uint8_t>(priority_class::batch);
    }
    else if constexpr (std::is_same_v<T, entry_kind>)
    {
        return static_cast<std::uint8_t>(entry_kind::membership);
    }
    else if constexpr (std::is_same_v<T, job_state>)
    {
        return static_cast<std::uint8_t>(job_state::cancelled);
    }
    else if constexpr (std::is_same_v<T, task_event>)
    {
        return static_cast<std::uint8_t>(task_event::refused);
    }
    else if constexpr (std::is_same_v<T, run_end>)
    {
        return static_cast<std::uint8_t>(run_end::suspected);
    }
    else if constexpr (std::is_same_v<T, workflow_state>)
    {
        return static_cast<std::uint8_t>(workflow_state::cancelled);
    }
    else
    {
        static_assert(std::is_same_v<T, task_action>);
        return static_cast<std::uint8_t>(task_action::throttle);
    }
}

template <typename T>
bool read_enum(msgpack::object const& in, T& value)
{
    std::underlying_type_t<T> number{};
    if (!read_integer(in, number))
    {
        return false;
    }
    value = static_cast<T>(number);
    if constexpr (std::is_same_v<T, core::result_code>)
    {
        return core::result_code_from_number(number).has_value();
    }
    else
    {
        return number <= last_enumerator<T>();
    }
}

bool read_string(msgpack::object const& in, std::string& value)
{
    if (in.type != msgpack::type::STR)
    {
        return false;
    }
    value.assign(in.via.str.ptr, in.via.str.size);
    return true;
}

bool is_array(msgpack::object const& in, std::size_t size)
{
    return in.type == msgpack::type::ARRAY && in.via.array.size == size;
}

template <typename T>
bool read_vector(msgpack::object const& in, std::vector<T>& value)
{
    if (in.type != msgpack::type::ARRAY)
    {
        return false;
    }
    value.resize(in.via.array.size);
    for (std::size_t i = 0; i < value.size(); ++i)
    {
        if (!read(in.via.array.ptr[i], value[i]))
        {
            return false;
        }
    }
    return true;
}

template <typename T>
bool read_optional(msgpack::object const& in, std::optional<T>& value)
{
    if (is_array(in, 0))
    {
        value.reset();
        return true;
    }
    return is_array(in, 1) && read(in.via.array.ptr[0], value.emplace());
}

template <std::size_t I = 0, typename... T>
bool read_alternative(msgpack::object const& in,
                      std::size_t index,
                      std::variant<T...>& value)
{
    if constexpr (I == sizeof...(T))
    {
        return false;
    }
    else if (index == I)
    {
        return read(in, value.template emplace<I>());
    }
    else
    {
        return read_alternative<I + 1>(in, index, value);
    }
}

template <typename... T>
bool read_variant(msgpack::object const& in, std::variant<T...>& value)
{
    std::uint32_t index = 0;
    return is_array(in, 2) && read_integer(in.via.array.ptr[0], index) &&
           read_alternative(in.via.array.ptr[1], index, value);
}

template <typename T>
bool read_aggregate(msgpack::object const& in, T& value)
{
    constexpr std::size_t most = member_count<T>();
    if (in.type != msgpack::type::ARRAY || in.via.array.size > most ||
        in.via.array.size < most - appended_members<T>)
    {
        return false;
    }
    std::size_t position = 0;
    auto const read_next = [&](auto& member)
    {
        bool const is_written = position < in.via.array.size;
        return !is_written || read(in.via.array.ptr[position++], member);
    };
    return visit_members(
        value, [&](auto&... member) { return (read_next(member) && ...); });
}

template <typename T>
bool read(msgpack::object const& in, T& value)
{
    if constexpr (std::is_same_v<T, bool>)
    {
        value = in.type == msgpack::type::BOOLEAN && in.via.boolean;
        return in.type == msgpack::type::BOOLEAN;
    }
    else if constexpr (std::is_same_v<T, std::string>)
    {
        return read_string(in, value);
    }
    else if constexpr (std::is_integral_v<T>)
    {
        return read_integer(in, value);
    }
    else if constexpr (std::is_enum_v<T>)
    {
        return read_enum(in, value);
    }
    else if constexpr (type_category<T>::is_duration)
    {
        std::int64_t count = 0;
        bool const is_read = read_integer(in, count);
        value = T(count);
        return is_read;
    }
    else if constexpr (type_category<T>::is_time_point)
    {
        typename T::duration since_epoch{};
        bool const is_read = read(in, since_epoch);
        value = T(since_epoch);
        return is_read;
    }
    else if constexpr (type_category<T>::is_vector)
    {
        return read_vector(in, value);
    }
    else if constexpr (type_category<T>::is_optional)
    {
        return read_optional(in, value);
    }
    else if constexpr (type_category<T>::is_variant)
    {
        return read_variant(in, value);
    }
    else if constexpr (strong_type<T>)
    {
        typename T::rep inner{};
        bool const is_read = read(in, inner);
        value = T(std::move(inner));
        return is_read;
    }
    else
    {
        return read_aggregate(in, value);
    }
}

msgpack::unpack_limit const& unpack_limits()
{
    static msgpack::unpack_limit const limit(max_message_bytes,
                                             max_message_bytes,
                                             max_message_bytes,
                                             max_message_bytes,
                                             max_message_bytes,
                                             max_depth);
    return limit;
}

} // namespace

template <typename Message>
std::string encode(Message const& message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    write(out, message);
    return std::string(buffer.data(), buffer.size());
}

template <typename Message>
std::optional<Message> decode(std::string_view bytes)
{
    using core::result_code;
    if (bytes.size() > max_message_bytes)
    {
        return core::fail(result_code::message_too_large,
                          "message of " + std::to_string(bytes.size()) +
                              " bytes is above the limit");
    }
    try
    {
        std::size_t end = 0;
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), end, nullptr, nullptr, unpack_limits());
        Message message{};
        if (end == bytes.size() && read(handle.get(), message))
        {
            return message;
        }
    }
    catch (msgpack::unpack_error const&)
    {
        // Reported below as a malformed message.
    }
    return core::fail(result_code::message_malformed,
                      "message does not match its type");
}

#define TURMERICSWITCH_WIRE_MESSAGE(type)                                      \
    template std::string encode<type>(type const&);                            \
    template std::optional<type> decode<type>(std::string_view);

TURMERICSWITCH_WIRE_MESSAGE(core::attempt_request)
TURMERICSWITCH_WIRE_MESSAGE(core::attempt_answer)
TURMERICSWITCH_WIRE_MESSAGE(core::cancel_request)
TURMERICSWITCH_WIRE_MESSAGE(core::cancel_answer)
TURMERICSWITCH_WIRE_MESSAGE(core::announce_request)
TURMERICSWITCH_WIRE_MESSAGE(core::announce_answer)
TURMERICSWITCH_WIRE_MESSAGE(core::watch_request)
TURMERICSWITCH_WIRE_MESSAGE(core::watch_answer)
TURMERICSWITCH_WIRE_MESSAGE(core::chunk_request)
TURMERICSWITCH_WIRE_MESSAGE(core::chunk_answer)
TURMERICSWITCH_WIRE_MESSAGE(core::configuration_delta)
TURMERICSWITCH_WIRE_MESSAGE(core::consensus_message)
TURMERICSWITCH_WIRE_MESSAGE(core::group_membership)
TURMERICSWITCH_WIRE_MESSAGE(core::log_entry)
TURMERICSWITCH_WIRE_MESSAGE(core::hard_state)
TURMERICSWITCH_WIRE_MESSAGE(core::snapshot_metadata)
TURMERICSWITCH_WIRE_MESSAGE(core::command_envelope)
TURMERICSWITCH_WIRE_MESSAGE(core::command_reply)
TURMERICSWITCH_WIRE_MESSAGE(core::configuration)
TURMERICSWITCH_WIRE_MESSAGE(core::configuration_document)
TURMERICSWITCH_WIRE_MESSAGE(core::state_snapshot)
TURMERICSWITCH_WIRE_MESSAGE(core::join_request)
TURMERICSWITCH_WIRE_MESSAGE(core::join_answer)
TURMERICSWITCH_WIRE_MESSAGE(core::runtime_report)
TURMERICSWITCH_WIRE_MESSAGE(core::runtime_grant)
TURMERICSWITCH_WIRE_MESSAGE(core::orders_request)
TURMERICSWITCH_WIRE_MESSAGE(core::runtime_orders)
TURMERICSWITCH_WIRE_MESSAGE(core::workflow_query)
TURMERICSWITCH_WIRE_MESSAGE(core::workflow_answer)
TURMERICSWITCH_WIRE_MESSAGE(core::leader_watch_request)
TURMERICSWITCH_WIRE_MESSAGE(core::leader_watch_answer)

#undef TURMERICSWITCH_WIRE_MESSAGE

} // namespace turmericswitch::wire
