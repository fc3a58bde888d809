#include <csignal>
#include <cstdlib>

namespace {

// Raises the signal that the variable names, before main() and with the other static
// initialisation.
[[gnu::constructor]] void raiseEarlySignal()
{
    const char *const number = std::getenv("CURRANTFALL_EARLY_SIGNAL");
    if (number != nullptr) {
        std::raise(std::atoi(number));
    }
}

} // namespace
