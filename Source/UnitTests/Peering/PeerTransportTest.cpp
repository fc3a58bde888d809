#include "currantfall/Peering/PeerTransport.h"

#include <arpa/inet.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include "currantfall/Common/Time.h"

using namespace Currantfall;
using namespace Currantfall::Peering;

namespace {

/// Ends a wait whose condition never comes true; not a pass bound.
constexpr absl::Duration hangTimeout = absl::Seconds(60);

PeerIdentity identity(const std::string &vm, Common::Incarnation incarnation)
{
    return { "trial",
             Common::VmName(vm),
             Common::ZoneName("lm-a"),
             Common::RegionName("lm"),
             incarnation,
             "127.0.0.1",
             7000 };
}

TransportSettings settingsOf(const PeerIdentity &self, std::uint16_t port = 0)
{
    TransportSettings settings;
    settings.self = self;
    settings.listenAddress = "127.0.0.1";
    settings.listenPort = port;
    settings.reconnectMax = absl::Milliseconds(200);
    settings.seed = self.incarnation;
    return settings;
}

std::unique_ptr<Wire::MessageT> notice(std::uint64_t revision, std::size_t bytes = 0)
{
    Wire::RevisionNoticeT value;
    value.revision = revision;
    value.row.assign(bytes, 'x');
    auto message = std::make_unique<Wire::MessageT>();
    message->body.Set(std::move(value));
    return message;
}

/// A transport and what its handlers were told.
class Vm
{
public:
    explicit Vm(const TransportSettings &settings)
    {
        PeerHandlers handlers;
        handlers.onMessage = [this](const Common::VmName &from, Common::Incarnation,
                                    std::unique_ptr<Wire::MessageT> message) {
            const std::lock_guard lock(this->mutex);
            this->revisions[from.value()].push_back(message->body.AsRevisionNotice()->revision);
        };
        handlers.onLinkUp = [this](const PeerIdentity &peer, LinkClass linkClass) {
            const std::lock_guard lock(this->mutex);
            ++this->up[{ peer.vm.value(), peer.incarnation, linkClass }];
            this->compressedValueReaders[peer.vm.value()] = peer.readsCompressedValues;
        };
        handlers.onLinkDown = [this](const Common::VmName &peer, Common::Incarnation incarnation,
                                     LinkClass linkClass, const Common::Error &reason) {
            const std::lock_guard lock(this->mutex);
            --this->up[{ peer.value(), incarnation, linkClass }];
            this->lastReason = reason.toString();
        };
        handlers.onOutdated = [this](Common::Incarnation known) {
            const std::lock_guard lock(this->mutex);
            this->latestKnown = known;
        };
        auto started = PeerTransport::start(settings, std::move(handlers));
        REQUIRE(started.has_value());
        this->transport = std::move(*started);
    }

    PeerAddress address(const std::string &vm) const
    {
        return { Common::VmName(vm), "127.0.0.1", this->transport->port() };
    }

    /// Established links to that run of the peer.
    int linksUp(const std::string &vm, Common::Incarnation incarnation, LinkClass linkClass)
    {
        const std::lock_guard lock(this->mutex);
        return this->up[{ vm, incarnation, linkClass }];
    }

    std::vector<std::uint64_t> received(const std::string &from)
    {
        const std::lock_guard lock(this->mutex);
        return this->revisions[from];
    }

    bool bothUp(const std::string &vm, Common::Incarnation incarnation)
    {
        return this->linksUp(vm, incarnation, LinkClass::Control) == 1
               && this->linksUp(vm, incarnation, LinkClass::Bulk) == 1;
    }

    bool peerReadsCompressedValues(const std::string &vm)
    {
        const std::lock_guard lock(this->mutex);
        return this->compressedValueReaders[vm];
    }

    /// The later run of this VM of which peers have told it; 0 if none did.
    Common::Incarnation outdatedBy()
    {
        const std::lock_guard lock(this->mutex);
        return this->latestKnown;
    }

    std::string reason()
    {
        const std::lock_guard lock(this->mutex);
        return this->lastReason;
    }

private:
    std::mutex mutex;
    std::map<std::string, bool> compressedValueReaders;
    std::map<std::tuple<std::string, Common::Incarnation, LinkClass>, int> up;
    std::map<std::string, std::vector<std::uint64_t>> revisions;
    std::string lastReason;
    Common::Incarnation latestKnown = 0;

public:
    std::unique_ptr<PeerTransport> transport; // Last: its thread uses the other members.
};

void waitUntil(const std::function<bool()> &condition)
{
    const Common::Instant deadline = Common::monotonicNow() + hangTimeout;
    while (!condition()) {
        REQUIRE(Common::monotonicNow() < deadline);
        absl::SleepFor(absl::Milliseconds(2));
    }
}

/// A socket without transport, for bytes that a transport never sends.
class RawPeer
{
public:
    explicit RawPeer(std::uint16_t port) : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(this->socket, reinterpret_cast<const sockaddr *>(&address),
                          sizeof(address))
                == 0);
    }
    ~RawPeer() { ::close(this->socket); }
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    void write(const std::string &bytes) const
    {
        REQUIRE(::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(bytes.size()));
    }

    void sayHello(const PeerIdentity &self) const
    {
        Wire::HelloT hello;
        hello.environment = self.environment;
        hello.vm = self.vm.value();
        hello.incarnation = self.incarnation;
        Wire::MessageT message;
        message.body.Set(std::move(hello));
        this->write(encodeFrame(protocolVersion, LinkClass::Control, message));
    }

    void endWrites() const { ::shutdown(this->socket, SHUT_WR); }

    /// Reads until the other side closes.
    void waitForClose() const
    {
        char byte = 0;
        while (::recv(this->socket, &byte, 1, 0) > 0) {
        }
    }

private:
    int socket;
};

} // namespace

// Guards against two usable links, or none, after crossed dials.
TEST_CASE("Two VMs that dial each other at once get one link per class")
{
    for (int round = 0; round < 20; ++round) {
        Vm a(settingsOf(identity("a", 1)));
        Vm b(settingsOf(identity("b", 2)));
        a.transport->setPeers({ b.address("b") });
        b.transport->setPeers({ a.address("a") });
        waitUntil([&] { return a.bothUp("b", 2) && b.bothUp("a", 1); });
        for (const LinkClass linkClass : { LinkClass::Control, LinkClass::Bulk }) {
            REQUIRE(a.transport->send(Common::VmName("b"), linkClass, notice(7)));
            REQUIRE(b.transport->send(Common::VmName("a"), linkClass, notice(8)));
        }
        waitUntil([&] {
            return a.received("b") == std::vector<std::uint64_t> { 8, 8 }
                   && b.received("a") == std::vector<std::uint64_t> { 7, 7 };
        });
        // No link was given up for another one.
        REQUIRE(a.transport->counters().linksFailed == 0);
        REQUIRE(b.transport->counters().linksFailed == 0);
    }
}

// Guards against compressed values for a VM of an earlier version, and against whole ones for all.
TEST_CASE("Both sides of a link learn whether the other one reads compressed values")
{
    PeerIdentity newer = identity("b", 2);
    newer.readsCompressedValues = true;
    Vm a(settingsOf(identity("a", 1)));
    Vm b(settingsOf(newer));
    a.transport->setPeers({ b.address("b") });
    waitUntil([&] { return a.bothUp("b", 2) && b.bothUp("a", 1); });
    CHECK(a.peerReadsCompressedValues("b"));
    CHECK_FALSE(b.peerReadsCompressedValues("a"));
}

TEST_CASE("A restarted peer replaces its earlier run, which can't come back")
{
    Vm a(settingsOf(identity("a", 1)));
    auto b = std::make_unique<Vm>(settingsOf(identity("b", 5)));
    const PeerAddress address = b->address("b");
    a.transport->setPeers({ address });
    waitUntil([&] { return a.bothUp("b", 5); });

    // The earlier run is still connected when the next one dials: both links must go.
    Vm next(settingsOf(identity("b", 6)));
    next.transport->setPeers({ a.address("a") });
    waitUntil([&] {
        return a.bothUp("b", 6) && a.linksUp("b", 5, LinkClass::Control) == 0
               && a.linksUp("b", 5, LinkClass::Bulk) == 0;
    });

    const auto refused = a.transport->counters().linksRefused;
    b->transport->setPeers({ a.address("a") });
    waitUntil([&] { return a.transport->counters().linksRefused > refused; });
    REQUIRE(a.bothUp("b", 6));
    REQUIRE(a.linksUp("b", 5, LinkClass::Control) == 0);
}

// Guards against a VM that nobody talks to for good, because its clock was set back before it
// started again.
TEST_CASE("A run that is earlier than the known one is told so, whichever side dials")
{
    Vm first(settingsOf(identity("vm-a", 1)));
    auto later = std::make_unique<Vm>(settingsOf(identity("vm-b", 20)));
    first.transport->setPeers({ later->address("vm-b") });
    waitUntil([&] { return first.bothUp("vm-b", 20); });
    CHECK(later->outdatedBy() == 0);
    const std::uint16_t port = later->transport->port();
    later.reset();
    const bool firstDials = GENERATE(true, false);
    Vm earlier(settingsOf(identity("vm-b", 10), firstDials ? port : 0));
    if (!firstDials) {
        first.transport->setPeers({});
        earlier.transport->setPeers({ first.address("vm-a") });
    }
    waitUntil([&] { return earlier.outdatedBy() == 20; });
    CHECK(first.linksUp("vm-b", 10, LinkClass::Control) == 0);
    CHECK(first.outdatedBy() == 0);
}

TEST_CASE("A killed peer is dialed again until it is back")
{
    Vm a(settingsOf(identity("a", 1)));
    auto b = std::make_unique<Vm>(settingsOf(identity("b", 5)));
    const PeerAddress address = b->address("b");
    a.transport->setPeers({ address });
    waitUntil([&] { return a.bothUp("b", 5); });
    b.reset();
    waitUntil([&] { return a.linksUp("b", 5, LinkClass::Control) == 0; });
    REQUIRE_FALSE(a.transport->send(address.vm, LinkClass::Control, notice(1)));
    const Vm restarted(settingsOf(identity("b", 6), address.port));
    waitUntil([&] { return a.bothUp("b", 6); });
}

// Guards against links that stay on the address that a neighbour named after the platform has
// listed another one.
TEST_CASE("A dialed link moves to the address that the platform lists")
{
    Vm a(settingsOf(identity("a", 1)));
    Vm b(settingsOf(identity("b", 5)));
    const Vm elsewhere(settingsOf(identity("c", 1)));
    PeerAddress listed = b.address("b");
    a.transport->setPeers({ listed });
    waitUntil([&] { return a.bothUp("b", 5); });
    listed.port = elsewhere.transport->port();
    listed.listed = true;
    a.transport->setPeers({ listed });
    waitUntil([&] {
        return a.linksUp("b", 5, LinkClass::Control) == 0
               && a.linksUp("b", 5, LinkClass::Bulk) == 0;
    });
    CHECK(a.reason().find("the platform lists another address") != std::string::npos);
    waitUntil([&] { return a.transport->counters().linksRefused > 0; });
    CHECK(a.linksUp("b", 5, LinkClass::Control) == 0);
    listed.port = b.transport->port();
    a.transport->setPeers({ listed });
    waitUntil([&] { return a.bothUp("b", 5); });
}

TEST_CASE("Peers of another environment or name are refused")
{
    Vm a(settingsOf(identity("a", 1)));
    PeerIdentity other = identity("b", 1);
    SECTION("environment")
    {
        other.environment = "production";
    }
    SECTION("name")
    {
        other.vm = Common::VmName("c");
    }
    Vm b(settingsOf(other));
    a.transport->setPeers({ b.address("b") });
    waitUntil([&] {
        return a.transport->counters().linksRefused + b.transport->counters().linksRefused > 3;
    });
    REQUIRE(a.linksUp("b", 1, LinkClass::Control) == 0);
    REQUIRE_FALSE(a.transport->send(Common::VmName("b"), LinkClass::Control, notice(1)));
}

// Guards against one bad link that disturbs others.
TEST_CASE("A bad stream closes only its own link")
{
    Vm a(settingsOf(identity("a", 1)));
    Vm b(settingsOf(identity("b", 2)));
    a.transport->setPeers({ b.address("b") });
    waitUntil([&] { return a.bothUp("b", 2) && b.bothUp("a", 1); });

    std::string bytes = encodeFrame(protocolVersion, LinkClass::Control, *notice(1));
    std::string expected;
    bool endsStream = false;
    SECTION("oversized")
    {
        bytes[3] = '\x7F';
        expected = "too large";
    }
    SECTION("wrong version")
    {
        bytes = encodeFrame(protocolVersion + 1, LinkClass::Control, *notice(1));
        expected = "protocol version";
    }
    SECTION("truncated")
    {
        bytes.pop_back();
        expected = "truncated";
        endsStream = true;
    }
    {
        const RawPeer bad(a.transport->port());
        bad.sayHello(identity("c", 1));
        waitUntil([&] { return a.linksUp("c", 1, LinkClass::Control) == 1; });
        bad.write(bytes);
        if (endsStream) {
            bad.endWrites();
        }
        bad.waitForClose();
    }
    waitUntil([&] { return a.linksUp("c", 1, LinkClass::Control) == 0; });
    REQUIRE(a.reason().find(expected) != std::string::npos);
    REQUIRE(a.reason().find("(c)") != std::string::npos);
    REQUIRE(a.transport->send(Common::VmName("b"), LinkClass::Control, notice(9)));
    waitUntil([&] { return b.received("a").size() == 1; });
    REQUIRE(a.bothUp("b", 2));
}

// Guards against unknown callers that make the daemon hold large frames.
TEST_CASE("A large frame before Hello closes the link")
{
    TransportSettings settings = settingsOf(identity("a", 1));
    settings.handshakeTimeout = absl::InfiniteDuration();
    Vm a(settings);
    const RawPeer bad(a.transport->port());
    // Only the header and a part are sent: the link is closed without waiting for the rest.
    const std::string frame
            = encodeFrame(protocolVersion, LinkClass::Control, *notice(1, 1'000'000));
    bad.write(frame.substr(0, 1'000));
    bad.waitForClose();
    REQUIRE(a.transport->counters().linksUp == 0);
}

// Guards against senders that block on a peer which does not read.
TEST_CASE("A peer that does not read fills its buffer and loses its link")
{
    TransportSettings settings = settingsOf(identity("a", 1));
    settings.writeTimeout = absl::Milliseconds(300);
    Vm a(settings);
    const RawPeer stuck(a.transport->port());
    stuck.sayHello(identity("c", 1));
    waitUntil([&] { return a.linksUp("c", 1, LinkClass::Control) == 1; });
    constexpr std::size_t messageBytes = 1'000'000;
    // The link's buffer and the kernel's buffers together are smaller than this.
    constexpr int messages = 200;
    bool refused = false;
    for (int sent = 0; sent < messages && !refused; ++sent) {
        refused = !a.transport->send(Common::VmName("c"), LinkClass::Control,
                                     notice(1, messageBytes));
    }
    REQUIRE(refused);
    waitUntil([&] { return a.linksUp("c", 1, LinkClass::Control) == 0; });
    REQUIRE_FALSE(a.transport->send(Common::VmName("c"), LinkClass::Control, notice(1)));
}

TEST_CASE("Queued messages are sent before a transport stops")
{
    TransportSettings settings = settingsOf(identity("a", 1));
    settings.flushTimeout = hangTimeout;
    Vm a(settings);
    Vm b(settingsOf(identity("b", 2)));
    a.transport->setPeers({ b.address("b") });
    waitUntil([&] { return a.bothUp("b", 2); });
    constexpr std::size_t count = 500;
    for (std::size_t index = 0; index < count; ++index) {
        REQUIRE(a.transport->send(Common::VmName("b"), LinkClass::Bulk, notice(index, 10'000)));
    }
    a.transport->stop();
    REQUIRE_FALSE(a.transport->send(Common::VmName("b"), LinkClass::Bulk, notice(1)));
    waitUntil([&] { return b.received("a").size() == count; });
}
