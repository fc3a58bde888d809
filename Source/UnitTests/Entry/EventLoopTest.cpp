#include <stdexcept>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Asio.h"

using namespace Currantfall::Entry;

// Guards against one malformed message or unexpected error that ends the whole process.
TEST_CASE("An exception of one handler does not end the event loop")
{
    boost::asio::io_context context;
    std::vector<std::string> errors;
    int handled = 0;
    for (int number = 0; number < 3; ++number) {
        boost::asio::post(context, [&handled, number] {
            ++handled;
            if (number < 2) {
                throw std::runtime_error("error " + std::to_string(number));
            }
        });
    }
    runEventLoop(context,
                 [&errors](const std::exception &error) { errors.emplace_back(error.what()); });
    CHECK(handled == 3);
    CHECK(errors == std::vector<std::string> { "error 0", "error 1" });
}

TEST_CASE("The event loop ends when it is stopped")
{
    boost::asio::io_context context;
    int handled = 0;
    boost::asio::post(context, [&] {
        ++handled;
        context.stop();
    });
    boost::asio::post(context, [&handled] { ++handled; });
    runEventLoop(context, [](const std::exception &) {});
    CHECK(handled == 1);
}
