#pragma once

#include <string>

namespace Currantfall::Tests {

/// Ten consecutive second octets of 127/8, reserved for one deployment for as long as the object
/// exists, so that test processes that run at the same time don't meet.
class AddressBlock
{
public:
    AddressBlock();
    ~AddressBlock();
    AddressBlock(const AddressBlock &) = delete;
    AddressBlock &operator=(const AddressBlock &) = delete;

    int firstOctet() const { return this->octet; }

private:
    int octet = 0;
    int reservation = -1;
};

} // namespace Currantfall::Tests
