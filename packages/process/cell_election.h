// Elects the leader of a cell. The leader's key is bound to a lease of the store; when the key is removed, the daemons
// campaign by compare-and-swap on the term's key. The revision of the winning write is the term's fencing token.
// Daemons whose VM has a small share of a core campaign after the others, because the leader makes the calls to all
// workers.
#pragma once

#include "connection/cell_context.h"
#include "connection/store_mirror.h"

#include <functional>
#include <map>
#include <memory>

namespace sesamespar {

/// Callbacks of an election. All run on the control thread.
struct election_sink {
    /// A claim has shown or written an item of the cell's keys. Its owner passes it to the mirror of these keys, which
    /// then reports it to the election and also reports its removal.
    std::function<void(const store_item &, const clock_reading &)> found;
    std::function<void(fencing_token, const clock_reading &)> won;
    std::function<void(const char *reason)> lost; ///< The term that this daemon had won has ended.
};

/// Election state of one daemon.
struct cell_election : std::enable_shared_from_this<cell_election> {
    cell_election(cell_context &cellContext, election_sink reports)
        : context(cellContext)
        , sink(std::move(reports))
    {
    }

    cell_context &context;
    election_sink sink;

    bool known = false; ///< The keys were listed, so that an absent leader's key is known to be absent.
    bool leaderPresent = false;
    store_revision termRevision;
    bool withdrawn = false; ///< This daemon is stopping and no longer campaigns.

    bool leading = false;
    fencing_token fence;
    bool campaigning = false;
    store_lease lease;
    timer campaignTimer;
    timer renewTimer;
};

std::shared_ptr<cell_election> joinElection(cell_context &context, election_sink sink);

/// Handles a change of the leader's or the term's key. A removed key has revision 0.
void onLeaderKeyChange(cell_election &election, const store_item &item, const clock_reading &now);
void onTermKeyChange(cell_election &election, const store_item &item, const clock_reading &now);

/// Handles the end of a listing of the cell's keys. Schedules a campaign if there is no leader.
void onKeysListed(cell_election &election, const clock_reading &now);

/// Ends this daemon's term and its lease, for example because a higher fencing token exists. This daemon campaigns
/// again only after the leader's key was removed.
void concede(cell_election &election, const char *reason);

/// Stops campaigning permanently. A leader also ends its lease, so that the other daemons can elect at once.
void withdraw(cell_election &election);

} // namespace sesamespar
