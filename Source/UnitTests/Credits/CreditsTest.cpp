#include <array>
#include <functional>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "currantfall/Credits/CreditGranter.h"
#include "currantfall/Credits/CreditHolder.h"

using namespace Currantfall::Common;
using namespace Currantfall::Credits;

namespace {

const VmName first("vm-1");
const VmName second("vm-2");

Instant at(int milliseconds)
{
    return Instant::fromOrigin(absl::Milliseconds(milliseconds));
}

CreditGranterSettings warmSettings()
{
    CreditGranterSettings result;
    result.reserve = 0.2;
    result.maxStep = 1.0;
    result.slowStart = absl::ZeroDuration();
    result.linkBytesPerSecond = 8000.0;
    result.shiftCap = 0.5;
    result.granters = 4;
    return result;
}

} // namespace

TEST_CASE("Grants leave the reserve free and share what remains among the holders that ask")
{
    CreditGranter granter(warmSettings());
    granter.setSlots(at(0), 10, 9);
    REQUIRE(granter.request(at(0), first, { 1, 20 })->concurrent == 7);
    REQUIRE(granter.request(at(0), second, { 1, 20 })->concurrent == 0);
    // The first holder's renewal shrinks to its share, the old grant counts until it expires.
    REQUIRE(granter.request(at(300), first, { 2, 20 })->concurrent == 4);
    REQUIRE(granter.request(at(300), second, { 2, 20 })->concurrent == 0);
    REQUIRE(granter.request(at(1300), second, { 3, 20 })->concurrent == 3);
    REQUIRE(granter.outstanding(at(1300)) == 7);
}

TEST_CASE("A rate that was granted counts until its grant has expired, also after a smaller one")
{
    CreditGranter granter(warmSettings());
    granter.setSlots(at(0), 10, 10);
    REQUIRE(granter.request(at(0), first, { 1, 2 })->bytesPerSecond == 1000.0);
    REQUIRE(granter.request(at(0), second, { 1, 2 })->bytesPerSecond == 0.0);
    REQUIRE(granter.request(at(300), first, { 2, 2 })->bytesPerSecond == 500.0);
    REQUIRE(granter.request(at(300), second, { 2, 2 })->bytesPerSecond == 0.0);
    REQUIRE(granter.request(at(1250), second, { 3, 2 })->bytesPerSecond == 500.0);
}

TEST_CASE("Grants grow by one step per interval, and by parts of a slot over several intervals")
{
    CreditGranterSettings settings = warmSettings();
    settings.maxStep = 0.4;
    CreditGranter granter(settings);
    granter.setSlots(at(0), 10, 10);
    REQUIRE(granter.request(at(0), first, { 1, 20 })->concurrent == 4);
    REQUIRE(granter.request(at(900), first, { 2, 20 })->concurrent == 4);
    REQUIRE(granter.request(at(1000), first, { 3, 20 })->concurrent == 8);
    CreditGranter small(settings);
    small.setSlots(at(0), 2, 2);
    REQUIRE(small.request(at(0), first, { 1, 20 })->concurrent == 0);
    REQUIRE(small.request(at(1000), first, { 2, 20 })->concurrent == 1);
}

TEST_CASE("Cold slots are granted little by little")
{
    CreditGranterSettings settings = warmSettings();
    settings.slowStart = absl::Seconds(10);
    settings.reserve = 0.0;
    CreditGranter granter(settings);
    granter.setSlots(at(0), 10, 10);
    REQUIRE(granter.request(at(0), first, { 1, 20 })->concurrent == 0);
    REQUIRE(granter.request(at(5000), first, { 2, 20 })->concurrent == 5);
    // More slots become owned: those that are warm stay so.
    granter.setSlots(at(5000), 20, 20);
    REQUIRE(granter.request(at(5001), first, { 3, 40 })->concurrent == 5);
    REQUIRE(granter.request(at(15000), first, { 4, 40 })->concurrent == 20);
}

TEST_CASE("A credit that is unknown, expired or used up starts nothing")
{
    CreditGranter granter(warmSettings());
    granter.setSlots(at(0), 10, 10);
    const CreditGrant grant = *granter.request(at(0), first, { 1, 2 });
    REQUIRE(granter.begin(at(1), second, grant.credit, 0) == CreditUse::Unknown);
    REQUIRE(granter.begin(at(1), first, grant.credit + 1, 0) == CreditUse::Unknown);
    REQUIRE(granter.begin(at(1), first, grant.credit, 0) == CreditUse::Begun);
    REQUIRE(granter.begin(at(1), first, grant.credit, 0) == CreditUse::Begun);
    REQUIRE(granter.begin(at(1), first, grant.credit, 0) == CreditUse::UsedUp);
    granter.end(first, grant.credit);
    REQUIRE(granter.begin(at(1250), first, grant.credit, 0) == CreditUse::Lapsed);
    REQUIRE(granter.inProgress() == 1);
    REQUIRE(granter.outstanding(at(1250)) == 1);
}

TEST_CASE("A restarted holder, which counts from one again, gets credits after the expiry")
{
    CreditGranter granter(warmSettings());
    granter.setSlots(at(0), 10, 10);
    REQUIRE(granter.request(at(0), first, { 50, 2 }));
    REQUIRE(!granter.request(at(100), first, { 1, 2 }));
    REQUIRE(granter.request(at(1250), first, { 2, 2 })->concurrent == 2);
}

TEST_CASE("A holder counts the validity from its request and ignores late and reordered answers")
{
    CreditHolder holder;
    REQUIRE(holder.ask(at(0), 5)->sequence == 1);
    REQUIRE(!holder.ask(at(249), 5));
    REQUIRE(holder.ask(at(250), 5)->sequence == 2);
    REQUIRE(!holder.ask(at(900), 0));
    holder.granted(at(800), { 2, 72, 1, 0.0, creditValidity });
    holder.granted(at(800), { 1, 71, 9, 0.0, creditValidity });
    REQUIRE(holder.take(at(1249), 0) == CreditId(72));
    REQUIRE(!holder.take(at(1249), 0));
    holder.giveBack(72);
    REQUIRE(!holder.take(at(1250), 0));
}

TEST_CASE("After a pause a holder uses nothing until a new request is answered")
{
    CreditHolder holder;
    holder.ask(at(0), 5);
    holder.granted(at(10), { 1, 71, 3, 0.0, creditValidity });
    holder.ask(at(250), 5);
    holder.pause();
    REQUIRE(!holder.take(at(300), 0));
    holder.granted(at(310), { 2, 72, 3, 0.0, creditValidity });
    REQUIRE(!holder.take(at(320), 0));
    holder.ask(at(500), 5);
    holder.granted(at(510), { 3, 73, 3, 0.0, creditValidity });
    REQUIRE(holder.take(at(520), 0));
}

TEST_CASE("Bytes are earned at the granted rate, and only while the grant is valid")
{
    CreditHolder holder;
    holder.ask(at(0), 5);
    holder.granted(at(900), { 1, 71, 3, 1000.0, creditValidity });
    REQUIRE(!holder.take(at(949), 50));
    REQUIRE(holder.take(at(950), 50));
    holder.ask(at(1400), 5);
    holder.granted(at(1400), { 2, 72, 3, 1000.0, creditValidity });
    REQUIRE(!holder.take(at(1400), 51));
    REQUIRE(holder.take(at(1400), 50));
    REQUIRE(!holder.take(at(1400), 1));
    REQUIRE(holder.take(at(1400), 0));
}

namespace {

/// One granter, three holders and a network that delays, loses and repeats messages.
class Network
{
public:
    Network() { this->granter.setSlots(at(0), total, total); }

    void step()
    {
        this->now += *rc::gen::inRange(1, 120);
        const auto holder = *rc::gen::inRange<std::size_t>(0, count);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            this->free = *rc::gen::inRange<std::size_t>(0, total + 1);
            this->granter.setSlots(at(this->now), total, this->free);
            break;
        case 1:
            this->holders[holder].pause();
            break;
        case 2:
        case 3:
        case 4:
            this->use(holder);
            break;
        default:
            if (const auto asked
                = this->holders[holder].ask(at(this->now), *rc::gen::inRange<std::size_t>(0, 15))) {
                this->send([this, holder, asked] { this->answer(holder, *asked); });
            }
        }
        this->deliver();
        // Bytes that all holders send stay within the cap from the start on.
        RC_ASSERT(this->sentBytes <= 1000.0 * this->now / 1000.0 + 1e-6);
        double rates = 0.0;
        for (const CreditHolder &each : this->holders) {
            rates += each.rate(at(this->now));
        }
        RC_ASSERT(rates <= 1000.0 + 1e-6);
    }

private:
    static constexpr std::size_t count = 3;
    static constexpr std::size_t total = 20;
    struct Message
    {
        int due;
        std::function<void()> handler;
    };
    struct Issued
    {
        int time;
        std::size_t concurrent;
    };

    static VmName nameOf(std::size_t holder) { return VmName("vm-" + std::to_string(holder)); }

    static CreditGranterSettings settings()
    {
        CreditGranterSettings result = warmSettings();
        result.maxStep = 0.25;
        return result;
    }

    void send(const std::function<void()> &handler)
    {
        const int copies = *rc::gen::element(0, 1, 1, 1, 2);
        for (int copy = 0; copy < copies; ++copy) {
            const int longest = *rc::gen::element(10, 300, 2000);
            this->messages.push_back({ this->now + *rc::gen::inRange(0, longest), handler });
        }
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(this->messages, [this, &due](const Message &message) {
            if (message.due <= this->now) {
                due.push_back(message);
            }
            return message.due <= this->now;
        });
        for (const Message &message : due) {
            message.handler();
        }
    }

    void answer(std::size_t holder, const CreditRequest &request)
    {
        const std::size_t before = this->granter.outstanding(at(this->now));
        const auto grant = this->granter.request(at(this->now), nameOf(holder), request);
        if (!grant) {
            return;
        }
        const std::size_t after = this->granter.outstanding(at(this->now));
        const std::size_t most = this->free > 4 ? this->free - 4 : 0;
        RC_ASSERT(after <= std::max(before, most));
        this->growth.push_back({ this->now, after - before });
        std::size_t grown = 0;
        for (const Issued &item : this->growth) {
            grown += this->now - item.time < 1000 ? item.concurrent : 0;
        }
        // Intervals are fixed: a window of that length may touch two of them.
        RC_ASSERT(grown <= 10U);
        this->issued[holder].push_back({ this->now, grant->concurrent });
        this->send([this, holder, grant] { this->holders[holder].granted(at(this->now), *grant); });
    }

    void use(std::size_t holder)
    {
        const auto bytes = *rc::gen::inRange<std::size_t>(0, 400);
        const auto credit = this->holders[holder].take(at(this->now), bytes);
        if (!credit) {
            return;
        }
        this->sentBytes += static_cast<double>(bytes);
        this->send([this, holder, credit] { this->begin(holder, *credit); });
        // The holder may give up on the answer before the granter has ended the request.
        this->messages.push_back({ this->now + *rc::gen::inRange(0, 3000), [this, holder, credit] {
                                      this->holders[holder].giveBack(*credit);
                                  } });
    }

    void begin(std::size_t holder, CreditId credit)
    {
        if (this->granter.begin(at(this->now), nameOf(holder), credit, 0) != CreditUse::Begun) {
            return;
        }
        ++this->running[holder];
        std::size_t allowed = 0;
        for (const Issued &item : this->issued[holder]) {
            if (this->now - item.time < 1250) {
                allowed = std::max(allowed, item.concurrent);
            }
        }
        RC_ASSERT(this->running[holder] <= allowed);
        this->messages.push_back({ this->now + *rc::gen::inRange(0, 3000), [this, holder, credit] {
                                      this->granter.end(nameOf(holder), credit);
                                      --this->running[holder];
                                  } });
    }

    CreditGranter granter = CreditGranter(settings());
    std::array<CreditHolder, count> holders;
    std::array<std::size_t, count> running {};
    std::array<std::vector<Issued>, count> issued;
    std::vector<Issued> growth;
    std::vector<Message> messages;
    std::size_t free = total;
    double sentBytes = 0.0;
    int now = 0;
};

} // namespace

TEST_CASE("Delayed, lost and repeated messages and pauses never exceed grants, slots or link caps")
{
    REQUIRE(rc::check("credits", [] {
        Network network;
        const int steps = *rc::gen::inRange(1, 300);
        for (int step = 0; step < steps; ++step) {
            network.step();
        }
    }));
}
