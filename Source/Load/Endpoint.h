#pragma once

#include <string>

#include "currantfall/Common/Error.h"

namespace Currantfall::Load {

struct Endpoint
{
    std::string address;
    int port = 0;

    std::string toString() const { return this->address + ":" + std::to_string(this->port); }
    static Common::Result<Endpoint> parse(const std::string &text);

    friend bool operator==(const Endpoint &left, const Endpoint &right) = default;
};

} // namespace Currantfall::Load
