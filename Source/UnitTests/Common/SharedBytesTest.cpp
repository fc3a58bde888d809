#include "currantfall/Common/SharedBytes.h"

#include <catch2/catch.hpp>

using Currantfall::Common::SharedBytes;

// Guards against a body that takes its size several times, while it grows or for each attempt.
TEST_CASE("Copies share their bytes, which take little more than their size")
{
    constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;
    constexpr std::size_t largestBlock = std::size_t { 64 } * 1024;
    SharedBytes bytes;
    const std::string part(1000, 'x');
    std::string whole;
    while (whole.size() < mebibyte) {
        bytes.append(part);
        whole += part;
    }
    const SharedBytes copy = bytes; // NOLINT(performance-unnecessary-copy-initialization)
    CHECK(copy.toString() == whole);
    CHECK(copy.block(0).data() == bytes.block(0).data());
    CHECK(bytes.capacity() <= whole.size() + largestBlock);
    SharedBytes small;
    small.append("x");
    CHECK(small.capacity() <= 1024);
    SharedBytes announced;
    announced.expect(100'000);
    for (int count = 0; count < 100; ++count) {
        announced.append(part);
    }
    CHECK(announced.size() == 100'000);
    CHECK(announced.capacity() == 100'000);
    CHECK(SharedBytes("ab") == SharedBytes(std::string("ab")));
    CHECK_FALSE(SharedBytes("ab") == SharedBytes());
}

// Guards against memory that counts as free while an attempt still sends it.
TEST_CASE("What is attached lives until the last copy is gone")
{
    auto companion = std::make_shared<int>(1);
    const std::weak_ptr<int> alive = companion;
    SharedBytes bytes("x");
    bytes.attach(std::move(companion));
    SharedBytes copy = bytes;
    bytes = {};
    CHECK_FALSE(alive.expired());
    copy = {};
    CHECK(alive.expired());
}
