#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "currantfall/Membership/Member.h"
#include "currantfall/Peering/PeerTransport.h"
#include "currantfall/Platform/EnvironmentRow.h"

#include "BackendPool.h"
#include "ConfigurationFlow.h"
#include "Request.h"

namespace Currantfall::Daemon {

struct CallerArrival
{
    SharedRequest request;
    std::shared_ptr<Completion> completion;
    Common::Instant arrival;
};

struct PeerMessage
{
    Execution::VmRun from;
    std::unique_ptr<Peering::Wire::MessageT> message;
};

struct PeerLinkUp
{
    Peering::PeerIdentity peer;
    Peering::LinkClass linkClass = Peering::LinkClass::Control;
};

struct PeerLinkDown
{
    Execution::VmRun peer;
    Peering::LinkClass linkClass = Peering::LinkClass::Control;
};

struct RowRead
{
    Platform::EnvironmentRow row;
};

struct VmsListed
{
    std::vector<Membership::ListedVm> vms;
};

struct DocumentReady
{
    LoadedDocument document;
};

/// The admin listener asks for this VM's state as JSON.
struct StatusQuery
{
    std::shared_ptr<Completion> reply;
};

/// Planned stop: announce that this VM leaves.
struct StopRequested
{ };

/// All caller listeners have ended.
struct CallersGone
{ };

/// Everything that the steering thread reacts to, besides time.
using Event
        = std::variant<CallerArrival, BackendCompletion, PeerMessage, PeerLinkUp, PeerLinkDown,
                       RowRead, VmsListed, DocumentReady, StatusQuery, StopRequested, CallersGone>;

} // namespace Currantfall::Daemon
