// The proxy forwards bytes unchanged, and its faults happen. Guards against network tests without a fault.
#include "standins/link_proxy.h"

#include <poll.h>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace sesamespar;
using namespace sesamespar::standins;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A listener behind one link, and a connection through it.
struct linked_pair {
    asio::io_context context;
    tcp::acceptor target{context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::shared_ptr<link_proxy> proxy = startLinkProxy();
    tcp::socket near{context};
    tcp::socket far{context};

    linked_pair()
    {
        const auto place =
            addLink(*proxy, "link", address("127.0.0.1:" + std::to_string(target.local_endpoint().port())));
        REQUIRE(place);
        const std::string &text = place.value().value;
        const auto port = static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)));
        near.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port));
        target.accept(far);
    }
};

void send(tcp::socket &from, const std::string &text)
{
    asio::write(from, asio::buffer(text));
}

/// Text of that length, or what came before the connection closed.
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

TEST_CASE("bytes pass both ways")
{
    linked_pair pair;
    send(pair.near, "question");
    CHECK(receive(pair.far, 8) == "question");
    send(pair.far, "answer");
    CHECK(receive(pair.near, 6) == "answer");
}

TEST_CASE("a cut way holds its bytes until it heals, the other way passes")
{
    linked_pair pair;
    link_fault fault;
    fault.holdForward = true;
    CHECK(setLinkFault(*pair.proxy, "li*", fault) == 1);
    send(pair.near, "question");
    CHECK_FALSE(hasData(pair.far, 100));
    send(pair.far, "answer");
    CHECK(receive(pair.near, 6) == "answer");
    setLinkFault(*pair.proxy, "link", {});
    CHECK(receive(pair.far, 8) == "question");
}

TEST_CASE("a dropped answer closes the connection after the request passed")
{
    linked_pair pair;
    link_fault fault;
    fault.dropAnswers = true;
    setLinkFault(*pair.proxy, "link", fault);
    send(pair.near, "question");
    CHECK(receive(pair.far, 8) == "question");
    send(pair.far, "answer");
    CHECK(receive(pair.near, 6).empty());
}

TEST_CASE("a reset closes open connections")
{
    linked_pair pair;
    link_fault fault;
    fault.reset = true;
    setLinkFault(*pair.proxy, "link", fault);
    CHECK(receive(pair.near, 1).empty());
    CHECK(setLinkFault(*pair.proxy, "other", fault) == 0);
}
