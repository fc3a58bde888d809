#include "StoreTables.h"

#include <utility>

#include "VmRow.h"
#include "platform/OperatorRows.h"
#include "platform/ServerRows.h"

namespace Currantfall::Entry {

namespace {

// Servers whose entries a restored store has lost write them again within two seconds.
constexpr absl::Duration serverHoldTime = absl::Milliseconds(2500);
// The store removes the entry of a server that is gone after three heartbeats of silence, which
// come every one to two seconds; the rest covers the time until the removal is read.
constexpr absl::Duration serverDeletionHoldTime = absl::Seconds(10);
// An evacuation that a restored store has lost stays in force until the operator has had time to
// give it again.
constexpr absl::Duration operatorHoldTime = absl::Seconds(10);
// After an outage of the store a VM without peers learns of a change when a read that got no answer
// has timed out (0.9 s), the backoff has passed and the next read is done. Three seconds after the
// outage it answers for what it has not read.
constexpr absl::Duration operatorMaxBackoff = absl::Seconds(1);
// Covers the writing of 1,000 rows, 50 in a second, and up to 8 s between two reads.
constexpr absl::Duration vmHoldTime = absl::Seconds(30);

} // namespace

std::vector<StoreSync::Table> storeTables()
{
    StoreSync::Table operatorTable { Adapter::operatorTable, {}, absl::Milliseconds(1000), {} };
    operatorTable.terms.interval = absl::ZeroDuration();
    operatorTable.terms.staleAfter = absl::Milliseconds(1500);
    operatorTable.terms.maxBackoff = operatorMaxBackoff;
    operatorTable.retention.holdTime = operatorHoldTime;
    operatorTable.retention.order = [](const Steering::RowChange &row) {
        return Adapter::readOperatorOrder(row.key, row.value);
    };
    StoreSync::Table servers { Adapter::serverTable, {}, absl::ZeroDuration(), {} };
    servers.terms.interval = absl::Milliseconds(500);
    servers.terms.staleAfter = absl::Milliseconds(1000);
    servers.retention.holdTime = serverHoldTime;
    servers.retention.deletionHoldTime = serverDeletionHoldTime;
    servers.retention.order
            = [](const Steering::RowChange &row) { return Adapter::readServerOrder(row.value); };
    StoreSync::Table vms { vmTable, {}, absl::ZeroDuration(), {} };
    vms.terms.interval = absl::Seconds(3);
    vms.terms.staleAfter = absl::Seconds(8);
    vms.retention.holdTime = vmHoldTime;
    return { std::move(operatorTable), std::move(servers), std::move(vms) };
}

} // namespace Currantfall::Entry
