#include "transport/rpc/responder.hpp"

#include <atomic>
#include <cassert>
#include <utility>

namespace turmericswitch::transport
{

struct responder::state
{
    explicit state(sink to) : send(std::move(to)) {}

    ~state()
    {
        if (!used.exchange(true))
        {
            send(std::nullopt);
        }
    }

    state(state const&) = delete;
    state& operator=(state const&) = delete;

    sink send;
    std::atomic<bool> used = false;
};

responder::responder(sink to) : m_state(std::make_shared<state>(std::move(to)))
{
}

void responder::answer(std::string body) const
{
    finish({core::result_code::ok, std::move(body)});
}

void responder::refuse(core::result_code code, std::string text) const
{
    assert(code != core::result_code::ok);
    finish({code, std::move(text)});
}

void responder::finish(rpc_answer value) const
{
    [[maybe_unused]] bool const again = m_state->used.exchange(true);
    assert(!again && "a call is answered exactly once");
    m_state->send(std::move(value));
}

} // namespace turmericswitch::transport
