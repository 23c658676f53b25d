// Stand-in platform: key-value store and VM list behind one rate limiter, with fault injection. Independent of HTTP:
// each call comes with a callback for its answer.
#pragma once

#include "connection/store_api.h"
#include "standins/call_meter.h"
#include "standins/key_value_store.h"
#include "standins/timer_queue.h"
#include "standins/vm_registry.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sesamespar::standins {

/// Why a call was refused.
enum class store_refusal {
    Down, ///< The service is unavailable; HTTP status 503.
    TooMany, ///< The call exceeds the rate limit; HTTP status 429.
};

/// Outcome of a call.
using store_outcome = std::variant<store_reply, store_refusal>;
/// Callback for the outcome of one call.
using store_answer = std::function<void(const store_outcome &)>;

/// Kind of outage of the service.
enum class store_outage {
    None,
    Refusing, ///< Refuses every call immediately.
    Silent, ///< Leaves calls unanswered until the outage ends, then refuses them. No call takes effect.
};

/// Injected faults.
struct store_faults {
    store_outage outage = store_outage::None;
    milliseconds delay{0}; ///< Delay between the effect of a call and its answer.
    std::int64_t putAnswersToLose = 0; ///< Number of puts that take effect but are not answered.
};

/// State of the platform, and the lock that guards it.
struct platform_host;

/// Creates a platform. Delays and watches use the timers.
std::shared_ptr<platform_host> makePlatformHost(std::shared_ptr<timer_queue> timers);

/// Handles one call. The callback runs immediately or later, on any thread.
void callPlatform(platform_host &host, const store_request &request, store_answer answer);

/// Faults that are currently injected.
store_faults currentFaults(platform_host &host);

/// Replaces the injected faults.
void setFaults(platform_host &host, const store_faults &faults);

/// Sets the rate limits.
void setRates(platform_host &host, std::uint64_t readsPerSecond, std::uint64_t writesPerSecond);

/// Sets the time after which readers see a change of the VM list.
void setVmLag(platform_host &host, milliseconds lag);

/// Adds VMs; an existing VM with the same name is replaced.
void addVms(platform_host &host, const std::vector<vm_entry> &vms);

/// Sets the state of a VM. Returns false if no VM has the name.
bool updateVm(platform_host &host, const worker_id &name, vm_state state);

/// Removes a VM from the list. Returns false if no VM has the name.
bool unregisterVm(platform_host &host, const worker_id &name);

/// Counters of the calls as JSON.
std::string platformReport(platform_host &host);

} // namespace sesamespar::standins
