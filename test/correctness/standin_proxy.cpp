// The proxy forwards bytes unchanged and injects the requested faults. Guards against network tests that inject no
// fault.
#include "standins/link_proxy.h"

#include <poll.h>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::standins;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A listening target behind one link, and a connection through the link.
struct linked_pair {
    asio::io_context context;
    tcp::acceptor target{context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::shared_ptr<link_proxy> proxy = startLinkProxy();
    tcp::socket clientSocket{context};
    tcp::socket targetSocket{context};

    linked_pair()
    {
        const auto listenAddress =
            addLink(*proxy, "link", address("127.0.0.1:" + std::to_string(target.local_endpoint().port())));
        REQUIRE(listenAddress);
        const std::string &text = listenAddress.value().value;
        const auto port = static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)));
        clientSocket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
        target.accept(targetSocket);
    }
};

void send(tcp::socket &from, const std::string &text)
{
    asio::write(from, asio::buffer(text));
}

/// Reads text of the given length, or less if the connection closes first.
std::string receive(tcp::socket &at, std::size_t length)
{
    std::string text(length, ' ');
    boost::system::error_code code;
    text.resize(asio::read(at, asio::buffer(text), code));
    return text;
}

bool hasData(tcp::socket &at, int waitMs)
{
    pollfd waiting{at.native_handle(), POLLIN, 0};
    return poll(&waiting, 1, waitMs) > 0;
}

} // namespace

TEST_CASE("bytes are forwarded in both directions")
{
    linked_pair pair;
    send(pair.clientSocket, "question");
    CHECK(receive(pair.targetSocket, 8) == "question");
    send(pair.targetSocket, "answer");
    CHECK(receive(pair.clientSocket, 6) == "answer");
}

TEST_CASE("a cut direction holds its bytes until the fault is cleared, and the other direction forwards")
{
    linked_pair pair;
    link_fault fault;
    fault.holdForward = true;
    CHECK(setLinkFault(*pair.proxy, "li*", fault) == 1);
    send(pair.clientSocket, "question");
    CHECK_FALSE(hasData(pair.targetSocket, 100));
    send(pair.targetSocket, "answer");
    CHECK(receive(pair.clientSocket, 6) == "answer");
    setLinkFault(*pair.proxy, "link", {});
    CHECK(receive(pair.targetSocket, 8) == "question");
}

TEST_CASE("a dropped answer closes the connection after the request was forwarded")
{
    linked_pair pair;
    link_fault fault;
    fault.dropAnswers = true;
    setLinkFault(*pair.proxy, "link", fault);
    send(pair.clientSocket, "question");
    CHECK(receive(pair.targetSocket, 8) == "question");
    send(pair.targetSocket, "answer");
    CHECK(receive(pair.clientSocket, 6).empty());
}

TEST_CASE("a silenced direction passes nothing for good, and the connection stays open")
{
    linked_pair pair;
    link_fault fault;
    fault.silenceForward = true;
    setLinkFault(*pair.proxy, "link", fault);
    send(pair.clientSocket, "question");
    CHECK_FALSE(hasData(pair.targetSocket, 100));
    send(pair.targetSocket, "answer");
    CHECK(receive(pair.clientSocket, 6) == "answer");
    setLinkFault(*pair.proxy, "link", {});
    CHECK_FALSE(hasData(pair.targetSocket, 100));
}

TEST_CASE("connections that open after others were silenced pass data")
{
    linked_pair pair;
    link_fault fault;
    fault.silenceForward = true;
    fault.silenceBackward = true;
    setLinkFault(*pair.proxy, "link", fault);
    const auto to = pair.clientSocket.remote_endpoint();
    tcp::socket laterClient(pair.context);
    tcp::socket laterTarget(pair.context);
    laterClient.connect(to);
    pair.target.accept(laterTarget);
    send(laterClient, "question");
    CHECK(receive(laterTarget, 8) == "question");
    send(laterTarget, "answer");
    CHECK(receive(laterClient, 6) == "answer");
}

TEST_CASE("a reset closes open connections")
{
    linked_pair pair;
    link_fault fault;
    fault.reset = true;
    setLinkFault(*pair.proxy, "link", fault);
    CHECK(receive(pair.clientSocket, 1).empty());
    CHECK(setLinkFault(*pair.proxy, "other", fault) == 0);
}
