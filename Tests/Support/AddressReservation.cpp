#include "Support/AddressReservation.h"

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace Currantfall::Tests {

namespace {

constexpr int firstRange = 40;
constexpr int rangeSize = 10;
constexpr int ranges = 20;
// A UDP port that no program of the deployments uses marks a range as taken. The kernel frees it
// however the process ends.
constexpr std::uint16_t reservationPort = 7990;

/// A socket bound to the reservation port of the range; -1 if it is taken.
int reserve(int octet)
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return -1;
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(reservationPort);
    const std::string text = "127." + std::to_string(octet) + ".0.1";
    inet_pton(AF_INET, text.c_str(), &address.sin_addr);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return socket;
    }
    close(socket);
    return -1;
}

} // namespace

AddressReservation::AddressReservation()
{
    for (int attempt = 0; attempt < ranges; ++attempt) {
        this->octet = firstRange + rangeSize * ((static_cast<int>(getpid()) + attempt) % ranges);
        this->socket = reserve(this->octet);
        if (this->socket >= 0) {
            return;
        }
    }
    throw std::runtime_error("all ranges of loopback addresses are in use by other tests");
}

AddressReservation::~AddressReservation()
{
    close(this->socket);
}

} // namespace Currantfall::Tests
