// The daemon: reads its settings, starts the traffic threads and runs the control loop.
#include "base/log.h"
#include "connection/traffic_threads.h"
#include "platform/platform_daemon.h"
#include "process/control_loop.h"
#include "version/daemon_settings.h"

#include <glog/logging.h>
#include <popt.h>
#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

using namespace sesamespar;

namespace {

constexpr int exitUsage = 2;

struct command_line {
    std::string settingsFile;
    bool onPlatform = false; ///< The settings file is in the format of the platform.
    int status = -1; ///< Exit status if the process must end now, otherwise -1.
};

command_line parseCommandLine(int argc, const char **argv)
{
    command_line parsed;
    char *file = nullptr;
    int version = 0;
    int onPlatform = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &file, 0, "YAML file with the daemon's settings", "FILE"},
        {"platform",
         'p',
         POPT_ARG_NONE,
         &onPlatform,
         0,
         "Run on the platform, with the settings named by the environment variable SESAMESPAR_SETTINGS",
         nullptr},
        {"version", 0, POPT_ARG_NONE, &version, 0, "Print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("sesamespard", argc, argv, options, 0);
    const int end = poptGetNextOpt(context);
    if (end < -1) {
        std::cerr << "sesamespard: " << poptBadOption(context, 0) << ": " << poptStrerror(end) << '\n';
        parsed.status = exitUsage;
    } else if (version != 0) {
        std::cout << "sesamespard 0.1.0\n";
        parsed.status = 0;
    } else if (onPlatform != 0) {
        const char *path = std::getenv("SESAMESPAR_SETTINGS");
        parsed.settingsFile = file != nullptr ? file : path != nullptr ? path : "/etc/sesamespar/local.yaml";
        parsed.onPlatform = true;
    } else if (file == nullptr) {
        std::cerr << "sesamespard: --settings FILE is required\n";
        parsed.status = exitUsage;
    } else {
        parsed.settingsFile = file;
    }
    poptFreeContext(context);
    return parsed;
}

std::optional<daemon_settings> readSettings(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << "sesamespard: cannot read \"" << path << "\"\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    parsed_daemon_settings parsed = parseDaemonSettings(text.str(), path);
    std::cerr << formatFindings(parsed.problems);
    return parsed.settings;
}

void startLogging(const char *program)
{
    google::InitGoogleLogging(program);
    FLAGS_logtostderr = true;
}

// Blocks the signals in all threads that are started later, so that only the signal thread receives them.
sigset_t blockSignals(bool handleReload)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    if (handleReload) {
        sigaddset(&signals, SIGHUP);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Waits for signals and requests a shutdown for each.
void forwardSignals(const sigset_t &signals, control_queue &queue)
{
    int received = 0;
    while (sigwait(&signals, &received) == 0) {
        pushEvent(queue, shutdown_requested{});
    }
}

template<typename Started>
bool checkStarted(const result<Started> &started)
{
    if (!started) {
        std::cerr << "sesamespard: " << started.error().message << '\n';
        return false;
    }
    return true;
}

int runDaemon(const daemon_settings &settings, const sigset_t &signals)
{
    initializeTrafficThreads(settings.trafficThreads);
    std::random_device entropy;
    const std::uint64_t seed = (std::uint64_t(entropy()) << 32U) | entropy();
    const auto state = makeDaemon(settings, seed, readClocks());

    control_queue queue;
    traffic connections;
    connections.calls = makeOutgoingCalls(settings.store);
    auto links = startPeerLinks(settings, [&queue](peer_message message) { pushEvent(queue, std::move(message)); });
    if (!checkStarted(links)) {
        return exitUsage;
    }
    connections.links = links.value();
    auto frontEnd =
        startFrontEnd(settings, [&queue](front_end_request request) { return pushEvent(queue, std::move(request)); });
    if (!checkStarted(frontEnd)) {
        return exitUsage;
    }
    connections.frontEnd = frontEnd.value();
    std::cout << "ready address=" << boundAddress(*connections.frontEnd) << std::endl;
    log_event("started").with("daemon", settings.name).with("address", boundAddress(*connections.frontEnd));

    std::thread signalThread([&] { forwardSignals(signals, queue); });
    runControlLoop(*state, queue, connections);

    // All responses have been written or the drain limit has passed, and no state has to be saved. Exits without
    // stopping the threads of the HTTP library, whose listeners can hang when they are closed.
    signalThread.detach();
    google::FlushLogFiles(google::GLOG_INFO);
    std::cout.flush();
    std::_Exit(0);
}

} // namespace

int main(int argc, char **argv)
{
    const command_line parsed = parseCommandLine(argc, const_cast<const char **>(argv));
    if (parsed.status >= 0) {
        return parsed.status;
    }
    startLogging(argv[0]);
    if (parsed.onPlatform) {
        return platform::runOnPlatform(parsed.settingsFile, blockSignals(true));
    }
    const std::optional<daemon_settings> settings = readSettings(parsed.settingsFile);
    if (!settings) {
        return exitUsage;
    }
    const sigset_t signals = blockSignals(false);
    return runDaemon(*settings, signals);
}
