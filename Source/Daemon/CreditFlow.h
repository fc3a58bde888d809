#pragma once

#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

#include "currantfall/Credits/CreditGranter.h"
#include "currantfall/Credits/CreditHolder.h"
#include "currantfall/Placement/RequestRouter.h"

#include "ClusterFlow.h"
#include "OwnerScheduler.h"
#include "SteeringContext.h"

namespace Currantfall::Daemon {

/// Credits for traffic between regions: asks owners of other regions while this region lacks
/// capacity, and grants from the slots that this VM owns.
class CreditFlow
{
public:
    /// Demand counts the requests noted in this interval; credits are asked for at its end.
    static constexpr absl::Duration demandInterval = absl::Milliseconds(250);

    CreditFlow(SteeringContext &context, ClusterFlow &cluster, const OwnerScheduler &scheduler);

    void onConfigurationChanged();
    void onCreditRequest(const Common::VmName &from, const Common::ServiceName &service,
                         const Credits::CreditRequest &request);
    void onCreditGrant(const Common::VmName &from, const Common::ServiceName &service,
                       const Credits::CreditGrant &grant);
    /// This process was paused for longer than credits are valid.
    void onPause();

    /// Whether the caller is of another region, so that its request needs a credit wherever it
    /// runs.
    bool isForeign(const Request &request) const;

    /// Holder's side. usableVms() lists the VMs for which a credit is at hand.
    absl::flat_hash_set<Common::VmName> usableVms(const Common::ServiceName &service);
    std::optional<Credits::CreditId> take(const Common::VmName &granter, const Request &request);
    void giveBack(const Common::VmName &granter, const Common::ServiceName &service,
                  Credits::CreditId credit);
    /// Notes demand if the request finds no free slot in this region, or needs credits in it.
    void onRouted(const Request &request, const std::vector<Placement::RouteTarget> &targets);

    /// Credits granted and held, for /status.
    nlohmann::ordered_json describe() const;

    /// Granter's side. Requests of the own region's callers need no credit.
    [[nodiscard]] bool begin(const Common::VmName &holder, const Request &request,
                             Credits::CreditId credit);
    void end(const Common::VmName &holder, const Common::ServiceName &service,
             Credits::CreditId credit);

private:
    using HolderKey = std::pair<Common::VmName, Common::ServiceName>;

    struct Demand
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };

    void tick();
    /// Asks owners of the service: those of this region for callers of others, or the reverse.
    void askForCredits(const Common::ServiceName &service, const Demand &demand, bool ownRegion);
    void askGranter(const Common::VmName &granter, const Common::ServiceName &service,
                    const Demand &demand);
    void sendRequest(const Common::VmName &granter, const Common::ServiceName &service,
                     const Credits::CreditRequest &request);
    void sendGrant(const Common::VmName &holder, const Common::ServiceName &service,
                   const Credits::CreditGrant &grant);
    /// Whether the member, or this VM, owns slots of the service.
    bool ownsSlots(const Membership::Member &candidate, const Common::ServiceName &service) const;
    void updateGranters();
    void updateGranterSettings();
    bool regionHasFreeSlots(const Common::ServiceName &service,
                            const std::vector<Placement::RouteTarget> &targets) const;
    Credits::CreditGranterSettings granterSettings() const;
    const Membership::Member *member(const Common::VmName &vm) const;

    SteeringContext &context;
    ClusterFlow &cluster;
    const OwnerScheduler &scheduler;
    absl::flat_hash_map<HolderKey, Credits::CreditHolder> holders;
    absl::flat_hash_map<Common::ServiceName, Credits::CreditGranter> granters;
    absl::flat_hash_map<Common::ServiceName, Demand> demands;
    /// Demand of callers of other regions.
    absl::flat_hash_map<Common::ServiceName, Demand> foreignDemands;
    std::uint64_t refused = 0;
    /// Of the member view from which the granters' settings were computed.
    std::uint64_t settingsTopology = 0;
};

} // namespace Currantfall::Daemon
