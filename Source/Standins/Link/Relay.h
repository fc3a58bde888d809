#pragma once

#include <array>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <poll.h>
#include <string>
#include <vector>

#include "currantfall/Common/Error.h"
#include "currantfall/Common/Log.h"
#include "currantfall/Common/Time.h"

#include "Channel.h"
#include "FileDescriptor.h"
#include "LinkSettings.h"

namespace Currantfall::Standins {

struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint &left, const Endpoint &right) = default;
};

std::string toString(const Endpoint &endpoint);

struct LinkPair
{
    Endpoint listen; ///< Port 0 selects a free port.
    Endpoint target;
};

/// Relays TCP connections of several listening addresses in one thread.
class Relay
{
public:
    static Common::Result<std::unique_ptr<Relay>> create(const std::vector<LinkPair> &pairs);

    /// The addresses with the ports that were selected. Thread-safe.
    std::vector<std::string> listening() const;

    /// Changes the settings of the links for which `chosen` returns true, and returns when they are
    /// in force. Thread-safe while run() is active.
    void update(const std::function<bool(const std::string &listening)> &chosen,
                const std::function<void(LinkSettings &settings)> &change);

    /// Settings in the order of listening(). Thread-safe.
    std::vector<LinkSettings> settings() const;

    /// Runs until stop().
    void run();
    /// Thread-safe.
    void stop();

private:
    struct Connection
    {
        std::array<Peering::FileDescriptor, 2> sockets; // The caller's and the target's.
        std::array<Channel, 2> channels {
            Channel(0), Channel(1)
        }; // From the socket of the same index to the other one.
        bool connecting = true;
        bool failed = false;
    };

    struct Link
    {
        Endpoint listen;
        Endpoint target;
        Peering::FileDescriptor listener;
        LinkSettings settings;
        std::uint64_t appliedResets = 0;
        std::array<Pacer, 2> pacers;
        std::list<Connection> connections;
    };

    explicit Relay(Peering::FileDescriptor wakeEvent);

    bool takeUpdates();
    void applySettings(Link &link);
    static void resetAll(Link &link);
    void acceptConnection(Link &link);
    void wait(Common::Instant now);
    void watch(const Peering::FileDescriptor &descriptor, short events);
    short ready(const Peering::FileDescriptor &descriptor) const;
    Common::Instant watchConnection(const Link &link, const Connection &connection);
    void serve(Link &link, Connection &connection, Common::Instant now);
    void wake() const;

    const Common::Log log;
    Peering::FileDescriptor wakeEvent;
    std::vector<Link> links;
    std::vector<pollfd> watched;

    mutable std::mutex mutex;
    std::condition_variable applied;
    std::vector<LinkSettings> wanted;
    std::uint64_t wantedVersion = 0;
    std::uint64_t appliedVersion = 0;
    bool stopping = false;
};

} // namespace Currantfall::Standins
