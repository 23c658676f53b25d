// A loopback port that is kept for a process that has to know it before it starts.
#pragma once

#include "base/ids.h"

namespace sesamespar::harness {

/// Holds a port that the kernel chose, bound but not listening, so that the kernel gives it to nobody else. A
/// server that sets SO_REUSEADDR, as nng does, can listen on it meanwhile.
class port_reservation
{
public:
    port_reservation();
    port_reservation(port_reservation &&other) noexcept;
    port_reservation &operator=(port_reservation &&other) noexcept;
    port_reservation(const port_reservation &) = delete;
    port_reservation &operator=(const port_reservation &) = delete;
    ~port_reservation();

    /// The address with the port.
    const address &place() const;

private:
    int m_handle = -1;
    address m_place;
};

} // namespace sesamespar::harness
