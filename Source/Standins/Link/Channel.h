#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "currantfall/Common/Time.h"

#include "LinkSettings.h"

namespace Currantfall::Standins {

/// When the bandwidth of one direction of a link allows the next bytes.
struct Pacer
{
    Common::Instant nextSend;
};

/// One direction of a relayed connection: bytes wait until their delay has passed.
class Channel
{
public:
    /// `direction` is 0 towards the target and 1 towards the caller.
    explicit Channel(std::size_t direction) : direction(direction) { }

    bool wantsRead() const;
    /// Reads once. The end of the source is delayed like data. Returns false if the source was
    /// reset.
    bool read(int source, Common::Instant now, const LinkSettings &settings);

    /// When write() has work next; infinite if it waits for the socket or for the end of a freeze.
    Common::Instant nextDue(const LinkSettings &settings, const Pacer &pacer) const;
    /// Writes what is due. Returns false if the target has failed.
    bool write(int target, Common::Instant now, const LinkSettings &settings, Pacer &pacer);

    /// True if the socket's buffer was full at the last write.
    bool wantsWrite(const LinkSettings &settings) const
    {
        return this->blocked && !settings.freeze.at(this->direction);
    }
    void unblock() { this->blocked = false; }

    /// The source has ended and the target has got everything.
    bool finished() const { return this->ended && this->shutDown; }

private:
    struct Chunk
    {
        Common::Instant due;
        std::string bytes;
    };

    std::size_t direction;
    std::deque<Chunk> chunks;
    std::size_t queuedBytes = 0;
    std::size_t frontSent = 0;
    bool ended = false;
    Common::Instant endDue;
    bool shutDown = false;
    bool blocked = false;
};

} // namespace Currantfall::Standins
