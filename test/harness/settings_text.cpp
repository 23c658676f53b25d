#include "harness/settings_text.h"

#include <sstream>

namespace sesamespar::harness {

std::string writeSettings(const daemon_settings &settings)
{
    const timing_settings &timing = settings.timing;
    std::ostringstream text;
    text << "name: " << settings.name << "\ndata_centre: " << settings.dataCentre << "\nhttp: \"" << settings.http
         << "\"\npeer: \"" << settings.peerAddress << "\"\n";
    if (!settings.peers.empty()) {
        text << "peers:\n";
    }
    for (const peer_settings &peer : settings.peers) {
        text << "  - {name: " << peer.name << ", data_centre: " << peer.dataCentre << ", peer: \"" << peer.peerAddress
             << "\"}\n";
    }
    text << "store: \"" << settings.store << "\"\ncaller_secret: " << settings.callerSecret
         << "\noperator_secret: " << settings.operatorSecret << "\ntraffic_threads: " << settings.trafficThreads
         << "\ntiming:\n  heartbeat: " << timing.heartbeat.count()
         << "ms\n  peer_timeout: " << timing.peerTimeout.count()
         << "ms\n  control_lease: " << timing.controlLease.count() << "ms\n  renewal: " << timing.renewal.count()
         << "ms\n  call_timeout: " << timing.callTimeout.count() << "ms\n  vm_list: " << timing.vmList.count()
         << "ms\n  watch: " << timing.watch.count() << "ms\n  drain_limit: " << timing.drainLimit.count() << "ms\n";
    return text.str();
}

} // namespace sesamespar::harness
