#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include <absl/synchronization/mutex.h>

#include "Daemon.h"
#include "EntryDaemon.h"

namespace {

using namespace Currantfall;

constexpr int exitFailed = 1;
constexpr int exitInvalidInput = 2;
// Runs an entry VM of the platform, whose settings file the named environment variable gives.
constexpr const char *entrySettingsFlag = "--entry-settings-from";

int runEntry(const char *variable)
{
    const char *path = std::getenv(variable);
    if (path == nullptr) {
        std::fprintf(stderr, "currantfalld: the variable %s is not set\n", variable);
        return exitInvalidInput;
    }
    std::signal(SIGPIPE, SIG_IGN);
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    const auto daemon = Entry::EntryDaemon::create(path);
    if (!daemon) {
        std::fprintf(stderr, "currantfalld: %s\n", daemon.error().toString().c_str());
        const bool invalid
                = daemon.error().code() == make_error_code(Common::ErrorCode::InvalidInput);
        return invalid ? exitInvalidInput : exitFailed;
    }
    (*daemon)->run();
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount == 3 && std::string(arguments[1]) == entrySettingsFlag) {
        return runEntry(arguments[2]);
    }
    const auto invocation = Daemon::readInvocation(argumentCount, arguments);
    if (!invocation) {
        std::fprintf(stderr, "currantfalld: %s\n", invocation.error().toString().c_str());
        return exitInvalidInput;
    }
    if (!invocation->settings) {
        std::fputs(invocation->text.c_str(), stdout);
        return 0;
    }
    if (const auto level = Common::Log::setLevel(invocation->settings->logLevel); !level) {
        std::fprintf(stderr, "currantfalld: %s\n", level.error().toString().c_str());
        return exitInvalidInput;
    }
    // Debian builds Abseil with deadlock detection, which takes a global lock in every Lock().
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    // Blocked before any thread starts, so that all threads inherit it and sigwait() gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    const auto daemon = Daemon::Daemon::start(*invocation->settings);
    if (!daemon) {
        Common::Log::forComponent("daemon").error(daemon.error().toString());
        const bool invalid
                = daemon.error().code() == make_error_code(Common::ErrorCode::InvalidInput);
        return invalid ? exitInvalidInput : exitFailed;
    }
    int received = 0;
    sigwait(&signals, &received);
    (*daemon)->stop();
    return 0;
}
