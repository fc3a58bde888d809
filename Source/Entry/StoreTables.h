#pragma once

#include <vector>

#include "StoreSync.h"

namespace Currantfall::Entry {

/// The tables of the platform's store that each VM keeps a replica of: the operator's, the backend
/// servers and the entry VMs. Backend servers change a few times a second, and servers that leave
/// must be known within two seconds. Configurations arrive without delay, because their table is
/// read by long polling.
std::vector<StoreSync::Table> storeTables();

} // namespace Currantfall::Entry
