#include "EntryProgram.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <absl/synchronization/mutex.h>

#include "EntryDaemon.h"

namespace Currantfall::Entry {

namespace {

constexpr int exitFailed = 1;
constexpr int exitInvalidInput = 2;

/// Holds back the signals that end or reload the daemon, for this thread and those that it starts.
class SignalBlock
{
public:
    SignalBlock()
    {
        sigemptyset(&this->held);
        sigaddset(&this->held, SIGTERM);
        sigaddset(&this->held, SIGINT);
        sigaddset(&this->held, SIGHUP);
        this->hold();
    }
    void hold() const { pthread_sigmask(SIG_BLOCK, &this->held, nullptr); }
    /// Lets this thread have them.
    void release() const { pthread_sigmask(SIG_UNBLOCK, &this->held, nullptr); }

private:
    sigset_t held {};
};

int report(const Common::Error &error)
{
    std::fprintf(stderr, "currantfalld: %s\n", error.toString().c_str());
    return error.code() == make_error_code(Common::ErrorCode::InvalidInput) ? exitInvalidInput
                                                                            : exitFailed;
}

} // namespace

int runEntryProgram(const char *variable)
{
    const char *path = std::getenv(variable);
    if (path == nullptr) {
        std::fprintf(stderr, "currantfalld: the variable %s is not set\n", variable);
        return exitInvalidInput;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // Signals that come before they are handled wait; other threads never get them.
    const SignalBlock block;
    // Debian builds Abseil with deadlock detection, which takes a global lock in every Lock().
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    const auto daemon = EntryDaemon::create(path);
    if (!daemon) {
        return report(daemon.error());
    }
    block.release();
    (*daemon)->run();
    // Another signal must not end the process while it cleans up.
    block.hold();
    return 0;
}

int checkEntrySettings(const char *path)
{
    const auto settings = EntrySettings::readFile(path);
    if (!settings) {
        return report(settings.error());
    }
    std::printf("%s: the settings of %s are valid\n", path, settings->vm.value().c_str());
    return 0;
}

} // namespace Currantfall::Entry
