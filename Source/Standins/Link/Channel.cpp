#include "Channel.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <sys/socket.h>

namespace Currantfall::Standins {

namespace {

using Common::Instant;

constexpr std::size_t readBytes = 65'536;
/// Above the product of any bandwidth and delay that tests use, so that only a frozen or slow link
/// exerts back pressure.
constexpr std::size_t maxQueuedBytes = std::size_t { 8 } * 1024 * 1024;
/// Bytes are released in portions of this time at the link's bandwidth.
constexpr absl::Duration portion = absl::Milliseconds(5);

} // namespace

bool Channel::wantsRead() const
{
    return !this->ended && this->queuedBytes < maxQueuedBytes;
}

bool Channel::read(int source, Instant now, const LinkSettings &settings)
{
    std::array<char, readBytes> bytes;
    const ssize_t size = ::recv(source, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size > 0) {
        const auto received = static_cast<std::size_t>(size);
        this->chunks.push_back({ now + settings.delay, std::string(bytes.data(), received) });
        this->queuedBytes += received;
    } else if (size == 0) {
        this->ended = true;
        this->endDue = now + settings.delay;
    }
    return size >= 0 || errno == EAGAIN || errno == EINTR;
}

Instant Channel::nextDue(const LinkSettings &settings, const Pacer &pacer) const
{
    if (settings.freeze.at(this->direction) || this->blocked || this->shutDown) {
        return Instant::infinite();
    }
    if (!this->chunks.empty()) {
        return std::max(this->chunks.front().due, pacer.nextSend);
    }
    return this->ended ? this->endDue : Instant::infinite();
}

bool Channel::write(int target, Instant now, const LinkSettings &settings, Pacer &pacer)
{
    while (this->nextDue(settings, pacer) <= now) {
        if (this->chunks.empty()) {
            ::shutdown(target, SHUT_WR);
            this->shutDown = true;
            return true;
        }
        const std::string &bytes = this->chunks.front().bytes;
        std::size_t size = bytes.size() - this->frontSent;
        const bool paced = std::isfinite(settings.bytesPerSecond);
        if (paced) {
            const double allowed = settings.bytesPerSecond * absl::ToDoubleSeconds(portion);
            size = std::min(size, static_cast<std::size_t>(std::max(allowed, 1.0)));
        }
        const ssize_t sent
                = ::send(target, bytes.data() + this->frontSent, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            this->blocked = true;
            return true;
        }
        if (sent < 0) {
            return false;
        }
        if (paced) {
            pacer.nextSend = std::max(pacer.nextSend, now)
                             + absl::Seconds(static_cast<double>(sent) / settings.bytesPerSecond);
        }
        this->frontSent += static_cast<std::size_t>(sent);
        this->queuedBytes -= static_cast<std::size_t>(sent);
        if (this->frontSent == bytes.size()) {
            this->chunks.pop_front();
            this->frontSent = 0;
        }
    }
    return true;
}

} // namespace Currantfall::Standins
