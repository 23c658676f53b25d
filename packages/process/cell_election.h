// Finds the leader of a cell. The leader's key lives as long as a lease of the store; when it is gone, the daemons
// campaign by compare-and-swap on the term's key. The revision of the winning write is the term's fencing token.
#pragma once

#include "connection/cell_context.h"
#include "connection/store_mirror.h"

#include <functional>
#include <map>
#include <memory>

namespace sesamespar {

/// What an election reports. All run on the control thread.
struct election_sink {
    std::function<void(fencing_token, const clock_reading &)> won;
    std::function<void(const char *reason)> lost; ///< The term that was won is over.
};

/// One daemon's part in the elections.
struct cell_election : std::enable_shared_from_this<cell_election> {
    cell_election(cell_context &cellContext, election_sink reports)
        : context(cellContext)
        , sink(std::move(reports))
    {
    }

    cell_context &context;
    election_sink sink;

    bool known = false; ///< The keys were listed.
    bool leaderPresent = false;
    store_revision termRevision;
    bool withdrawn = false; ///< This daemon stops.

    bool leading = false;
    fencing_token fence;
    bool campaigning = false;
    store_lease lease;
    timer campaignTimer;
    timer renewTimer;
};

std::shared_ptr<cell_election> joinElection(cell_context &context, election_sink sink);

/// Takes what the store says of the leader's and the term's key; revision 0 for a key that is gone.
void onLeaderKeyChange(cell_election &election, const store_item &item, const clock_reading &now);
void onTermKeyChange(cell_election &election, const store_item &item, const clock_reading &now);

/// The keys were listed; an absent leader is known to be absent.
void onKeysListed(cell_election &election, const clock_reading &now);

/// Gives the term up without taking another one for a while, because a higher one exists.
void concede(cell_election &election);

/// Stops campaigning for good and ends the lease, so that the others elect at once.
void withdraw(cell_election &election);

} // namespace sesamespar
