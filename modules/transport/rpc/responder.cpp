#include "transport/rpc/responder.hpp"

#include <atomic>
#include <cassert>
#include <utility>

namespace turmericswitch::transport
{

struct responder::state
{
    explicit state(answer_callback on_answer) : callback(std::move(on_answer))
    {
    }

    ~state()
    {
        if (!finished.exchange(true))
        {
            callback(std::nullopt);
        }
    }

    state(state const&) = delete;
    state& operator=(state const&) = delete;

    answer_callback callback;
    std::atomic<bool> finished = false;
};

responder::responder(answer_callback on_answer)
    : m_state(std::make_shared<state>(std::move(on_answer)))
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
    [[maybe_unused]] bool const already_finished =
        m_state->finished.exchange(true);
    assert(!already_finished && "a call is answered exactly once");
    m_state->callback(std::move(value));
}

} // namespace turmericswitch::transport
