#include "raw_socket.hpp"
#include "web/client/async_client.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>

namespace turmericswitch::web
{

/// Peers that send more than one response to a request.
class unexpected_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unexpected_response_test);
    CPPUNIT_TEST(interim_response_does_not_shift_the_later_ones);
    CPPUNIT_TEST(second_response_does_not_answer_the_next_request);
    CPPUNIT_TEST_SUITE_END();

public:
    // A peer may send interim responses (status 1xx) before the final one.
    // Guards against a final response that is taken for the answer to the next
    // request on the connection, as a start that seems to be refused.
    void interim_response_does_not_shift_the_later_ones()
    {
        expect_no_shift("HTTP/1.1 103 Early Hints\r\n\r\n" + response("first"));
    }

    // Guards against the rest of a peer's output that is taken for the answer
    // to the next request on the connection.
    void second_response_does_not_answer_the_next_request()
    {
        expect_no_shift(response("first") + response("unrequested"));
    }

private:
    static std::string response(std::string const& body)
    {
        return "HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// @param output What the peer sends on its first connection.
    static void expect_no_shift(std::string const& output)
    {
        scripted_server const server({output, response("second")});
        transport::io_pool io(1);
        async_client client(io, server.address());
        send(client);
        auto const second = send(client);
        CPPUNIT_ASSERT(second.outcome == http_outcome::answered);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), second.response.body);
    }

    static http_result send(async_client& client)
    {
        std::promise<http_result> promise;
        client.request({"POST", "/", {}, ""},
                       std::chrono::seconds(20),
                       [&promise](http_result result)
                       { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unexpected_response_test);

} // namespace turmericswitch::web
