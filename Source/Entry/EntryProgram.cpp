#include "EntryProgram.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <absl/synchronization/mutex.h>
#include <malloc.h>

#include "EntryDaemon.h"

namespace Currantfall::Entry {

namespace {

constexpr int exitFailure = 1;
constexpr int exitInvalidInput = 2;
// By default the C library raises this threshold when a large block is freed, and then takes large
// blocks from the heap, where the gaps between them stay with the process: 62 MB of responses took
// 130 MB.
constexpr int largeBlockBytes = 128 * 1024;

/// Blocks the signals that stop or reload the daemon, in this thread and the threads that it
/// starts.
class SignalBlock
{
public:
    SignalBlock()
    {
        sigemptyset(&this->signals);
        sigaddset(&this->signals, SIGTERM);
        sigaddset(&this->signals, SIGINT);
        sigaddset(&this->signals, SIGHUP);
        this->block();
    }
    void block() const { pthread_sigmask(SIG_BLOCK, &this->signals, nullptr); }
    /// Unblocks the signals in this thread only.
    void unblock() const { pthread_sigmask(SIG_UNBLOCK, &this->signals, nullptr); }

private:
    sigset_t signals {};
};

int printError(const Common::Error &error)
{
    std::fprintf(stderr, "currantfalld: %s\n", error.toString().c_str());
    return error.code() == make_error_code(Common::ErrorCode::InvalidInput) ? exitInvalidInput
                                                                            : exitFailure;
}

} // namespace

int runEntryProgram(const char *pathVariable)
{
    const char *path = std::getenv(pathVariable);
    if (path == nullptr) {
        std::fprintf(stderr, "currantfalld: environment variable %s is not set\n", pathVariable);
        return exitInvalidInput;
    }
    std::signal(SIGPIPE, SIG_IGN);
    (void)::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    // Signals stay pending until the daemon handles them, and are never delivered to other threads.
    const SignalBlock signalBlock;
    // Debian builds Abseil with deadlock detection, which takes a global lock in every Lock().
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    const auto daemon = EntryDaemon::create(path);
    if (!daemon) {
        return printError(daemon.error());
    }
    signalBlock.unblock();
    (*daemon)->run();
    // Another signal must not end the process while it cleans up.
    signalBlock.block();
    return 0;
}

int checkEntrySettings(const char *path)
{
    const auto settings = EntrySettings::readFile(path);
    if (!settings) {
        return printError(settings.error());
    }
    std::printf("%s: the settings of %s are valid\n", path, settings->vm.value().c_str());
    return 0;
}

} // namespace Currantfall::Entry
