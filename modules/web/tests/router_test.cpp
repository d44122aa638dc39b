#include "web/web.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace turmericswitch::web
{

class router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(routes_match_by_method_and_path);
    CPPUNIT_TEST(unknown_paths_and_methods_are_refused);
    CPPUNIT_TEST(query_values_are_decoded);
    CPPUNIT_TEST(error_text_of_any_bytes_is_json);
    CPPUNIT_TEST_SUITE_END();

    static router routes()
    {
        auto const zone = [](std::string const& action)
        {
            return [action](http_request const&, path_parameters const& values)
            { return text_response(action + " " + values.at("zone")); };
        };
        return router({{"POST", "/v1/zones/{zone}/out", zone("out")},
                       {"POST", "/v1/zones/{zone}/in", zone("in")},
                       {"GET", "/v1/zones/{zone}", zone("get")}});
    }

    static http_response handle(std::string method, std::string target)
    {
        return routes()({std::move(method), std::move(target), {}, ""});
    }

    // Guards against dispatching an operator's request to the wrong handler.
    void routes_match_by_method_and_path()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("out a/1"),
                             handle("POST", "/v1/zones/a%2f1/out").body);
        CPPUNIT_ASSERT_EQUAL(std::string("in b"),
                             handle("POST", "/v1/zones/b/in?x=1").body);
        CPPUNIT_ASSERT_EQUAL(std::string("get 5%zz"),
                             handle("HEAD", "/v1/zones/5%zz").body);
    }

    // Guards against serving paths that only resemble a route.
    void unknown_paths_and_methods_are_refused()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{404},
                             handle("POST", "/v1/zones//out").status);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{404},
                             handle("POST", "/v1/zones/a/out/").status);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{405},
                             handle("GET", "/v1/zones/a/out").status);
    }

    // Guards against wrong query parameters of the history and status requests.
    void query_values_are_decoded()
    {
        http_request const request{"GET", "/p?a=1%202&bc&b=%", {}, ""};
        CPPUNIT_ASSERT(query_value(request, "a") == "1 2");
        CPPUNIT_ASSERT(query_value(request, "bc") == "");
        CPPUNIT_ASSERT(query_value(request, "b") == "%");
        CPPUNIT_ASSERT(!query_value(request, "c"));
    }

    // Guards against an exception while the error response is written.
    void error_text_of_any_bytes_is_json()
    {
        auto const response =
            error_response(core::result_code::not_run, "a\"\xff\n");
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, response.status);
        CPPUNIT_ASSERT_EQUAL(
            std::string("{\"code\":301,\"name\":\"not_run\",\"text\":"
                        "\"a\\\"\xef\xbf\xbd\\n\"}"),
            response.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(router_test);

} // namespace turmericswitch::web
