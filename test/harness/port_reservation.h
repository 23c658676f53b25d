// Reserves a loopback port for a process whose port must be known before it starts.
#pragma once

#include "base/ids.h"

namespace sesamespar::harness {

/// A port chosen by the kernel, bound but not listening, so that the kernel assigns it to no other process. A server
/// that sets SO_REUSEADDR, as the links between daemons do, can listen on the port during the reservation.
class port_reservation
{
public:
    port_reservation();
    port_reservation(port_reservation &&other) noexcept;
    port_reservation &operator=(port_reservation &&other) noexcept;
    port_reservation(const port_reservation &) = delete;
    port_reservation &operator=(const port_reservation &) = delete;
    ~port_reservation();

    /// Loopback address with the reserved port.
    const address &reservedAddress() const;

private:
    int m_handle = -1;
    address m_address;
};

} // namespace sesamespar::harness
