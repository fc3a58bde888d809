#pragma once

#include <memory>
#include <string>
#include <thread>

#include <httplib.h>

#include "currantfall/Common/Error.h"
#include "currantfall/Configuration/ClientBlockTable.h"
#include "currantfall/Membership/Member.h"
#include "currantfall/Placement/PlacementMember.h"
#include "currantfall/Telemetry/MetricsRegistry.h"

#include "HttpListener.h"
#include "RoutingSnapshot.h"

namespace Currantfall::Daemon {

/// What lookups are answered from. Replaced as a whole by the steering thread.
struct LookupSnapshot
{
    std::shared_ptr<const Configuration::Environment> environment;
    std::shared_ptr<const Configuration::ClientBlockTable> clientBlocks;
    Common::Revision revision = 0;
    std::vector<Placement::PlacementMember> members;
    std::shared_ptr<const Membership::MemberView> view;
    Common::VmName self;
    Common::ZoneName zone;
    std::string ownKeyPrefix;
};

/// The listener for `GET /v1/lookup`.
class LookupService
{
public:
    static Common::Result<std::unique_ptr<LookupService>>
    start(const std::string &address, std::uint16_t port, std::size_t connections,
          const Published<LookupSnapshot> &snapshots, Telemetry::MetricsRegistry &metrics);

private:
    LookupService(std::size_t connections, const Published<LookupSnapshot> &snapshots,
                  Telemetry::MetricsRegistry &metrics);

    void lookUp(const httplib::Request &in, httplib::Response &out);

    const Published<LookupSnapshot> &snapshots;
    Telemetry::MetricsRegistry &metrics;
    HttpListener listener;
};

} // namespace Currantfall::Daemon
