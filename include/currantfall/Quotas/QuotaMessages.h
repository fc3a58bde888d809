#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include <absl/time/time.h>

#include "currantfall/Common/Names.h"

namespace Currantfall::Quotas {

/// Permits of one tenant that a VM would like to have.
struct PermitNeed
{
    Common::TenantName tenant;
    double wanted = 0.0;
    /// Part of `wanted` for which requests wait now.
    double waiting = 0.0;

    friend bool operator==(const PermitNeed &left, const PermitNeed &right) = default;
};

/// Asks a VM for permits. Each request is answered by one grant, or not at all.
struct PermitRequest
{
    std::uint64_t number = 0;
    /// The sender is the agent of its zone. A VM that asks for itself may be answered a little
    /// later, when its agent has collected permits.
    bool forZone = false;
    std::vector<PermitNeed> needs;

    friend bool operator==(const PermitRequest &left, const PermitRequest &right) = default;
};

/// Permits of about the same age, by the clock of the sender of the grant.
struct GrantedLot
{
    double count = 0.0;
    absl::Duration age;

    friend bool operator==(const GrantedLot &left, const GrantedLot &right) = default;
};

struct TenantGrant
{
    Common::TenantName tenant;
    std::vector<GrantedLot> lots;

    friend bool operator==(const TenantGrant &left, const TenantGrant &right) = default;
};

/// The permits that a VM gives away on a request. They are its own no longer, whether or not the
/// grant arrives.
struct PermitGrant
{
    std::uint64_t number = 0; ///< Of the request.
    std::vector<TenantGrant> tenants;

    friend bool operator==(const PermitGrant &left, const PermitGrant &right) = default;
};

struct QuotaMessage
{
    Common::VmName to;
    std::variant<PermitRequest, PermitGrant> body;

    friend bool operator==(const QuotaMessage &left, const QuotaMessage &right) = default;
};

} // namespace Currantfall::Quotas
