#include <csignal>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <sys/syscall.h>
#include <unistd.h>

#include <absl/synchronization/mutex.h>

#include "Daemon.h"
#include "EntryProgram.h"

namespace {

using namespace Currantfall;

constexpr int exitFailed = 1;
constexpr int exitInvalidInput = 2;
// Both replace all other flags: the platform's entry VMs have a settings file.
constexpr const char *entrySettingsFlag = "--entry-settings-from";
constexpr const char *checkEntrySettingsFlag = "--check-entry-settings";

constexpr std::uint64_t maskOf(int signal)
{
    return std::uint64_t { 1 } << static_cast<unsigned>(signal - 1);
}

/// Blocks the signals that stop or reload the daemon until the program handles them. Makes the
/// system call itself, because libraries and sanitizers are not initialised yet.
[[gnu::no_sanitize("address", "undefined", "thread")]] void blockSignalsEarly(int, char **, char **)
{
    const std::uint64_t signals = maskOf(SIGTERM) | maskOf(SIGINT) | maskOf(SIGHUP);
    syscall(SYS_rt_sigprocmask, SIG_BLOCK, &signals, nullptr, sizeof(signals));
}

// Runs before the initialisation of the shared libraries, which takes longer than that of the
// program.
[[gnu::section(".preinit_array"), gnu::used]] void (*const earlyBlock)(int, char **, char **)
        = blockSignalsEarly;

void unblock(std::initializer_list<int> numbers)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount == 3 && std::string(arguments[1]) == entrySettingsFlag) {
        return Entry::runEntryProgram(arguments[2]);
    }
    if (argumentCount == 3 && std::string(arguments[1]) == checkEntrySettingsFlag) {
        unblock({ SIGTERM, SIGINT, SIGHUP });
        return Entry::checkEntrySettings(arguments[2]);
    }
    // Only entry VMs on the platform handle it.
    unblock({ SIGHUP });
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
