// TCP proxy with fault injection. Each link listens on its own port and forwards to one target.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <memory>
#include <string>

namespace sesamespar::standins {

/// Faults of one link. Forward is the direction from the client to the target.
struct link_fault {
    milliseconds delay{0}; ///< Added to each chunk of data, in both directions.
    bool holdForward = false; ///< Data to the target is held until the fault is cleared, as in a network partition.
    bool holdBackward = false; ///< The same for data to the client.
    bool reset = false; ///< Closes all open connections, and new ones immediately.
    bool dropAnswers = false; ///< Forwards requests, but closes the connection when the response arrives.
    /// The connections that are open when the fault is set pass no more data to the target, for good, and are not
    /// closed. New connections are not affected.
    bool silenceForward = false;
    bool silenceBackward = false; ///< The same for data to the client.
};

/// All links, and the thread that serves them.
struct link_proxy;

/// Starts a proxy without links.
std::shared_ptr<link_proxy> startLinkProxy();

/// Adds a link and returns the address on which it listens. Errors: InvalidInput if the target is not HOST:PORT or the
/// proxy cannot listen.
result<address> addLink(link_proxy &proxy, const std::string &name, const address &target);

/// Sets the faults of all links whose name equals the pattern or, if the pattern ends in *, starts with the rest of it.
/// Returns the number of links that matched.
std::size_t setLinkFault(link_proxy &proxy, const std::string &pattern, const link_fault &fault);

/// Number of open connections of a link; 0 if there is no such link.
std::size_t openConnections(link_proxy &proxy, const std::string &name);

} // namespace sesamespar::standins
