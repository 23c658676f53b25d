// A link over connections that break at any point, lose what is on its way, and lead to a receiver that restarts.
// Guards against packets that are passed on twice, out of order or with others missing in between.
#include "connection/send_window.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

using namespace sesamespar;

namespace {

/// A sender, a receiver and what is on its way between them.
struct link_world {
    send_window window;
    time_point now;
    std::uint64_t offered = 0; ///< Packets that the window has taken; each contains its number.
    std::size_t dropped = 0; ///< As the window reports.
    bool connected = false;
    std::string toReceiver; ///< Frames that were written and not received.
    std::uint64_t toSender = 0; ///< Acknowledged bytes that were not received.

    incarnation_id receiver{1};
    packet_number delivered;
    packet_number next;
    std::string input;
    std::vector<std::uint64_t> passedOn;
};

void offer(link_world &world)
{
    if (enqueuePacket(world.window, std::to_string(world.offered + 1), world.now)) {
        ++world.offered;
    }
}

void disconnect(link_world &world)
{
    disconnectWindow(world.window);
    world.connected = false;
    world.toReceiver.clear();
    world.toSender = 0;
    world.input.clear();
}

void reconnect(link_world &world)
{
    disconnect(world);
    const window_resumption resumption = resumeWindow(world.window, {world.receiver, world.delivered}, world.now);
    world.dropped += resumption.dropped;
    world.next = resumption.first;
    world.connected = true;
}

void write(link_world &world)
{
    if (world.connected) {
        world.toReceiver += takeUnsentFrames(world.window);
    }
}

void receive(link_world &world, std::size_t most)
{
    const std::size_t count = std::min(most, world.toReceiver.size());
    world.input += world.toReceiver.substr(0, count);
    world.toReceiver.erase(0, count);
    world.toSender += count;
    const auto taken = takeFrames(world.input, [&world](std::string_view packet) {
        const packet_number number = world.next;
        ++world.next.value;
        if (number > world.delivered) {
            world.delivered = number;
            world.passedOn.push_back(std::stoull(std::string(packet)));
        }
    });
    RC_ASSERT(bool(taken));
}

void acknowledge(link_world &world)
{
    RC_ASSERT(acknowledgeBytes(world.window, std::exchange(world.toSender, 0)));
}

/// The receiver restarts: the connection ends, and nothing is known of the link.
void restartReceiver(link_world &world)
{
    disconnect(world);
    ++world.receiver.value;
    world.delivered = {};
}

void step(link_world &world, std::uint32_t choice)
{
    constexpr std::uint32_t kinds = 16;
    const std::uint32_t amount = choice / kinds;
    switch (choice % kinds) {
    case 0:
        restartReceiver(world);
        break;
    case 1:
        disconnect(world);
        break;
    case 2:
        reconnect(world);
        break;
    case 3:
        world.now += milliseconds(amount % 2000);
        break;
    case 4:
    case 5:
    case 6:
        write(world);
        break;
    case 7:
    case 8:
    case 9:
        receive(world, amount % 40);
        break;
    case 10:
    case 11:
        acknowledge(world);
        break;
    default:
        offer(world);
    }
}

/// Connects and passes everything on that is left.
void settle(link_world &world)
{
    reconnect(world);
    while (!world.window.packets.empty()) {
        write(world);
        receive(world, world.toReceiver.size());
        acknowledge(world);
    }
}

} // namespace

TEST_CASE("packets are passed on at most once and in order, and the missing ones are counted")
{
    rc::prop("random orders of events", [](const std::vector<std::uint32_t> &choices) {
        link_world world;
        for (const std::uint32_t choice : choices) {
            step(world, choice);
        }
        settle(world);
        RC_ASSERT(std::is_sorted(world.passedOn.begin(), world.passedOn.end(), std::less_equal<>()));
        RC_ASSERT(world.passedOn.size() + world.dropped >= world.offered);
    });
}

TEST_CASE("no packet is lost while the receiver stays and no packet becomes too old")
{
    rc::prop("random orders of events", [](const std::vector<std::uint32_t> &choices) {
        link_world world;
        for (const std::uint32_t choice : choices) {
            constexpr std::uint32_t firstHarmless = 4;
            const std::uint32_t kind = choice % 16;
            step(world, kind == 0 || kind == 3 ? firstHarmless : choice);
        }
        settle(world);
        RC_ASSERT(world.dropped == 0U);
        RC_ASSERT(world.passedOn.size() == world.offered);
        RC_ASSERT(std::is_sorted(world.passedOn.begin(), world.passedOn.end(), std::less_equal<>()));
    });
}
