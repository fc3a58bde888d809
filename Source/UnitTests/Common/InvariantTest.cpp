#include "currantfall/Common/Invariant.h"

#include <string>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "currantfall/Common/Log.h"

using namespace Currantfall::Common;
using nlohmann::json;

namespace {

struct ChildResult
{
    std::string errors;
    int exitCode = -1;
};

/// Runs `body` in a child process; returns what it wrote to standard error and its exit code.
template<typename Body>
ChildResult runInChild(const Body &body)
{
    int ends[2] = { -1, -1 };
    REQUIRE(pipe(ends) == 0);
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        body();
        _exit(0);
    }
    close(ends[1]);
    ChildResult result;
    char buffer[1024];
    for (ssize_t count = 0; (count = read(ends[0], buffer, sizeof(buffer))) > 0;) {
        result.errors.append(buffer, static_cast<std::size_t>(count));
    }
    close(ends[0]);
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

} // namespace

// Guards against a process that goes on with a wrong state, or ends without a trace of it.
TEST_CASE("A violated invariant ends the process with its state in one log line")
{
    const ChildResult result = runInChild([] {
        if (!Log::setLevel("off")) {
            return;
        }
        const int slots = 3;
        const int inUse = 4;
        requireInvariant(inUse <= slots, "owner", "slots in use are at most the slots", [&] {
            return json { { "slots", slots }, { "in_use", inUse } };
        });
    });
    CHECK(result.exitCode == invariantExitCode);
    REQUIRE(result.errors.find('\n') == result.errors.size() - 1);
    const json line = json::parse(result.errors);
    CHECK(line.at("level") == "critical");
    CHECK(line.at("component") == "owner");
    CHECK(line.at("message") == "slots in use are at most the slots");
    CHECK(line.at("state") == json { { "slots", 3 }, { "in_use", 4 } });
}

// Guards against the cost of describing a state in which nothing is wrong.
TEST_CASE("An invariant that holds neither ends the process nor describes the state")
{
    const ChildResult result = runInChild([] {
        bool described = false;
        requireInvariant(true, "owner", "holds", [&] {
            described = true;
            return json();
        });
        _exit(described ? 1 : 0);
    });
    CHECK(result.exitCode == 0);
    CHECK(result.errors.empty());
}
