#pragma once

namespace Currantfall::Tests {

/// Reserves a range of loopback addresses 127.N.*.* to 127.N+9.*.* for this process, so that test
/// processes that run at the same time don't share addresses.
class AddressReservation
{
public:
    /// Throws std::runtime_error if every range is taken.
    AddressReservation();
    ~AddressReservation();

    AddressReservation(const AddressReservation &) = delete;
    AddressReservation &operator=(const AddressReservation &) = delete;

    /// N of the range.
    int firstOctet() const { return this->octet; }

private:
    int socket = -1;
    int octet = 0;
};

} // namespace Currantfall::Tests
