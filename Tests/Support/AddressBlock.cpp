#include "Support/AddressBlock.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Currantfall::Tests {

namespace {

constexpr int firstBlock = 40;
constexpr int blockSize = 10;
constexpr int blocks = 20;
constexpr std::uint16_t reservationPort = 7899;

/// A socket bound to 127.`octet`.9.9, or -1 if the block is taken. UDP, because a TCP address
/// counts as in use for a minute after its connections have closed.
int reserve(int octet)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(reservationPort);
    inet_pton(AF_INET, ("127." + std::to_string(octet) + ".9.9").c_str(), &address.sin_addr);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return descriptor;
    }
    close(descriptor);
    return -1;
}

} // namespace

AddressBlock::AddressBlock()
{
    for (int attempt = 0; attempt < blocks; ++attempt) {
        this->octet = firstBlock + blockSize * static_cast<int>((getpid() + attempt) % blocks);
        this->reservation = reserve(this->octet);
        if (this->reservation >= 0) {
            return;
        }
    }
    throw std::runtime_error("all address blocks are in use");
}

AddressBlock::~AddressBlock()
{
    close(this->reservation);
}

} // namespace Currantfall::Tests
