#pragma once

#include "NameTable.h"

namespace Currantfall::Configuration {

/// Everything in a document that must be unique or can be referred to.
struct Definitions
{
    NameTable tenants { "tenant" };
    NameTable ranks { "rank" };
    NameTable regions { "region" };
    NameTable zones { "availability zone" };
    NameTable links { "pair of regions" };
    NameTable clientBlocks { "network" };
    NameTable services { "service" };
    // Drains name backend servers without their service.
    NameTable backendServers { "backend server" };
    NameTable addresses { "address" };
};

} // namespace Currantfall::Configuration
