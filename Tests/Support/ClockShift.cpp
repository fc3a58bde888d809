// Linked into a program: shifts its time of day by CURRANTFALL_CLOCK_SHIFT_MS.

#include <cstdlib>
#include <ctime>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

constexpr long nanosecondsPerSecond = 1'000'000'000;
constexpr long nanosecondsPerMillisecond = 1'000'000;

long shiftMs()
{
    static const long value = [] {
        const char *const text = std::getenv("CURRANTFALL_CLOCK_SHIFT_MS");
        return text == nullptr ? 0 : std::strtol(text, nullptr, 10);
    }();
    return value;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long result = ::syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && clock == CLOCK_REALTIME) {
        const long nanoseconds = time->tv_nsec + shiftMs() % 1000 * nanosecondsPerMillisecond;
        const long carry = nanoseconds < 0 ? -1 : nanoseconds / nanosecondsPerSecond;
        time->tv_nsec = nanoseconds - carry * nanosecondsPerSecond;
        time->tv_sec += shiftMs() / 1000 + carry;
    }
    return static_cast<int>(result);
}

extern "C" int gettimeofday(timeval *time, void * /*zone*/) noexcept
{
    timespec precise {};
    const int result = clock_gettime(CLOCK_REALTIME, &precise);
    time->tv_sec = precise.tv_sec;
    time->tv_usec = precise.tv_nsec / 1000;
    return result;
}
