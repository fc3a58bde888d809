#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Currantfall::Tests {

/// A program started by a test. It is killed when the fixture ends, or when the thread that started
/// it ends, so that a test that crashes leaves no process behind. Its output is kept in memory: a
/// program never blocks on a pipe that nobody reads. Failures of the system throw.
class ProcessFixture
{
public:
    /// Starts `program` with `arguments`. `variables` ("NAME=VALUE") are added to the environment.
    ProcessFixture(const std::string &program, const std::vector<std::string> &arguments,
                   const std::vector<std::string> &variables = {});
    ProcessFixture(ProcessFixture &&other) noexcept;
    ProcessFixture &operator=(ProcessFixture &&other) = delete;
    ProcessFixture(const ProcessFixture &other) = delete;
    ProcessFixture &operator=(const ProcessFixture &other) = delete;
    ~ProcessFixture();

    pid_t pid() const { return this->process; }

    /// Waits for the first line of standard output, {"listening":"IP:PORT"}, and returns the
    /// address. Throws with the program's error output if it ends before.
    std::string waitListening();

    void terminate() { this->signal(SIGTERM); }
    void kill() { this->signal(SIGKILL); }
    void hangUp() { this->signal(SIGHUP); }
    /// Stops the program as a paused VM would be stopped.
    void pause() { this->signal(SIGSTOP); }
    void resume() { this->signal(SIGCONT); }

    void signal(int number);

    bool running();
    /// Waits for the end. Returns the exit code, or 128 plus the number of the fatal signal. Writes
    /// the state of a process that does not end to the standard error output.
    int wait();

    /// True if the program, at this moment, blocks the signal or has a handler for it, or has
    /// ended.
    bool handles(int signal) const;

    /// What the program has written so far.
    std::string output() const;
    std::string errors() const;

private:
    /// State, signals and threads of the process, and the end of what it wrote.
    std::string describe() const;

    pid_t process = -1;
    int outputFile = -1;
    int errorFile = -1;
    std::optional<int> exitCode;
};

/// Sleeps for a moment between two evaluations of a condition.
void pauseBetweenChecks();

/// Waits until `condition` holds. There is no time limit: the test runner's timeout ends a test
/// whose condition never holds.
template<typename Condition>
void waitUntil(const Condition &condition)
{
    while (!condition()) {
        pauseBetweenChecks();
    }
}

} // namespace Currantfall::Tests
