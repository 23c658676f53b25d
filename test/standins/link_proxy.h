// TCP proxy with faults: each link listens on a port of its own and forwards to one target.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <memory>
#include <string>

namespace sesamespar::standins {

/// Faults of one link. Forward is the way from whoever connects to the target.
struct link_fault {
    milliseconds delay{0}; ///< Added each way to each piece of data.
    bool holdForward = false; ///< Data on its way to the target waits until the hold ends, as in a cut network.
    bool holdBackward = false; ///< The same for data on its way back.
    bool reset = false; ///< Closes all connections, and new ones at once.
    bool dropAnswers = false; ///< Forwards requests, but closes the connection when the answer arrives.
};

/// All links with the thread that serves them.
struct link_proxy;

/// Starts the thread.
std::shared_ptr<link_proxy> startLinkProxy();

/// Adds a link and returns the address that it listens on. Errors: InvalidInput if the target is malformed.
result<address> addLink(link_proxy &proxy, const std::string &name, const address &target);

/// Sets the faults of all links whose name is the pattern, or begins with it if the pattern ends in *.
/// Returns the number of links.
std::size_t setLinkFault(link_proxy &proxy, const std::string &pattern, const link_fault &fault);

} // namespace sesamespar::standins
