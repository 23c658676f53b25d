#include "standins/link_proxy.h"

#include <array>
#include <boost/asio.hpp>
#include <charconv>
#include <future>
#include <map>
#include <set>
#include <thread>
#include <vector>

namespace sesamespar::standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct proxied_link;

/// One connection through a link. Kept alive by its pending operations and by its link.
struct proxied_connection : std::enable_shared_from_this<proxied_connection> {
    explicit proxied_connection(asio::io_context &context, std::shared_ptr<proxied_link> owner)
        : clientSocket(context)
        , targetSocket(context)
        , link(std::move(owner))
    {
    }

    tcp::socket clientSocket; ///< Connection to the client.
    tcp::socket targetSocket; ///< Connection to the target.
    std::shared_ptr<proxied_link> link;
    bool silentForward = false; ///< Passes no more data to the target.
    bool silentBackward = false;
};

using connection_ptr = std::shared_ptr<proxied_connection>;

struct proxied_link : std::enable_shared_from_this<proxied_link> {
    explicit proxied_link(asio::io_context &context)
        : acceptor(context)
    {
    }

    tcp::acceptor acceptor;
    tcp::endpoint target;
    link_fault fault;
    std::set<connection_ptr> connections;
    std::vector<std::function<void()>> held; ///< Operations to resume when the fault changes.
};

/// Copies data in one direction of a connection.
struct pump : std::enable_shared_from_this<pump> {
    pump(connection_ptr owner, bool toTarget)
        : connection(std::move(owner))
        , forward(toTarget)
        , timer(connection->clientSocket.get_executor())
    {
    }

    connection_ptr connection;
    bool forward;
    asio::steady_timer timer;
    std::array<char, 65536> buffer{};
};

using pump_ptr = std::shared_ptr<pump>;

void closeConnection(const connection_ptr &connection)
{
    boost::system::error_code ignored;
    connection->clientSocket.close(ignored);
    connection->targetSocket.close(ignored);
    connection->link->connections.erase(connection);
}

bool isHeld(const pump &direction)
{
    const proxied_connection &connection = *direction.connection;
    const link_fault &fault = connection.link->fault;
    return direction.forward ? fault.holdForward || connection.silentForward
                             : fault.holdBackward || connection.silentBackward;
}

void readSome(const pump_ptr &direction);

void writeAll(const pump_ptr &direction, std::size_t count)
{
    if (isHeld(*direction)) {
        direction->connection->link->held.emplace_back([direction, count] { writeAll(direction, count); });
        return;
    }
    tcp::socket &to = direction->forward ? direction->connection->targetSocket : direction->connection->clientSocket;
    asio::async_write(to,
                      asio::buffer(direction->buffer.data(), count),
                      [direction](const boost::system::error_code &code, std::size_t) {
                          if (code) {
                              closeConnection(direction->connection);
                          } else {
                              readSome(direction);
                          }
                      });
}

void forwardData(const pump_ptr &direction, std::size_t count)
{
    const link_fault &fault = direction->connection->link->fault;
    if (!direction->forward && fault.dropAnswers) {
        closeConnection(direction->connection);
        return;
    }
    if (fault.delay.count() == 0) {
        writeAll(direction, count);
        return;
    }
    direction->timer.expires_after(fault.delay);
    direction->timer.async_wait([direction, count](const boost::system::error_code &) { writeAll(direction, count); });
}

void readSome(const pump_ptr &direction)
{
    tcp::socket &from = direction->forward ? direction->connection->clientSocket : direction->connection->targetSocket;
    from.async_read_some(asio::buffer(direction->buffer),
                         [direction](const boost::system::error_code &code, std::size_t count) {
                             if (code) {
                                 closeConnection(direction->connection);
                             } else {
                                 forwardData(direction, count);
                             }
                         });
}

void connectTarget(const connection_ptr &connection)
{
    const std::shared_ptr<proxied_link> link = connection->link;
    if (link->fault.reset) {
        closeConnection(connection);
        return;
    }
    if (link->fault.holdForward || link->fault.holdBackward) {
        link->held.emplace_back([connection] { connectTarget(connection); });
        return;
    }
    connection->targetSocket.async_connect(link->target, [connection](const boost::system::error_code &code) {
        if (code) {
            closeConnection(connection);
            return;
        }
        boost::system::error_code ignored;
        connection->clientSocket.set_option(tcp::no_delay(true), ignored);
        connection->targetSocket.set_option(tcp::no_delay(true), ignored);
        readSome(std::make_shared<pump>(connection, true));
        readSome(std::make_shared<pump>(connection, false));
    });
}

void acceptNext(const std::shared_ptr<proxied_link> &link, asio::io_context &context)
{
    const auto connection = std::make_shared<proxied_connection>(context, link);
    link->acceptor.async_accept(connection->clientSocket,
                                [link, connection, &context](const boost::system::error_code &code) {
                                    if (code == asio::error::operation_aborted) {
                                        return;
                                    }
                                    if (!code) {
                                        link->connections.insert(connection);
                                        connectTarget(connection);
                                    }
                                    acceptNext(link, context);
                                });
}

void applyFault(proxied_link &link, const link_fault &fault)
{
    link.fault = fault;
    if (fault.reset) {
        const std::set<connection_ptr> open = link.connections;
        for (const connection_ptr &connection : open) {
            closeConnection(connection);
        }
    }
    for (const connection_ptr &connection : link.connections) {
        connection->silentForward = connection->silentForward || fault.silenceForward;
        connection->silentBackward = connection->silentBackward || fault.silenceBackward;
    }
    std::vector<std::function<void()>> held;
    held.swap(link.held);
    for (const auto &resume : held) {
        resume();
    }
}

bool parseTarget(const address &target, tcp::endpoint &endpoint)
{
    const std::size_t colon = target.value.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    boost::system::error_code code;
    const auto host = asio::ip::make_address(target.value.substr(0, colon), code);
    std::uint16_t port = 0;
    const char *end = target.value.data() + target.value.size();
    const auto parsed = std::from_chars(target.value.data() + colon + 1, end, port);
    endpoint = tcp::endpoint(host, port);
    return !code && parsed.ec == std::errc() && parsed.ptr == end;
}

} // namespace

struct link_proxy {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    std::map<std::string, std::shared_ptr<proxied_link>> links; ///< Accessed only by the proxy's thread.
    std::thread thread;

    ~link_proxy()
    {
        context.stop();
        thread.join();
    }
};

namespace {

/// Runs an action on the proxy's thread, waits for it and returns its result.
template<typename Action>
auto runOnProxyThread(link_proxy &proxy, Action action)
{
    std::packaged_task<decltype(action())()> task(std::move(action));
    auto done = task.get_future();
    asio::post(proxy.context, [&task] { task(); });
    return done.get();
}

} // namespace

std::shared_ptr<link_proxy> startLinkProxy()
{
    auto proxy = std::make_shared<link_proxy>();
    proxy->thread = std::thread([plain = proxy.get()] { plain->context.run(); });
    return proxy;
}

result<address> addLink(link_proxy &proxy, const std::string &name, const address &target)
{
    auto link = std::make_shared<proxied_link>(proxy.context);
    if (!parseTarget(target, link->target)) {
        return makeError(error_kind::InvalidInput, "the link target is not HOST:PORT: " + target.value);
    }
    return runOnProxyThread(proxy, [&]() -> result<address> {
        const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        boost::system::error_code code;
        link->acceptor.open(any.protocol(), code);
        link->acceptor.bind(any, code);
        link->acceptor.listen(tcp::acceptor::max_listen_connections, code);
        if (code) {
            return makeError(error_kind::InvalidInput, "the proxy cannot listen: " + code.message());
        }
        proxy.links[name] = link;
        acceptNext(link, proxy.context);
        return address("127.0.0.1:" + std::to_string(link->acceptor.local_endpoint().port()));
    });
}

std::size_t setLinkFault(link_proxy &proxy, const std::string &pattern, const link_fault &fault)
{
    return runOnProxyThread(proxy, [&] {
        std::size_t count = 0;
        for (const auto &[name, link] : proxy.links) {
            const bool prefix = pattern.ends_with('*');
            if (prefix ? name.starts_with(pattern.substr(0, pattern.size() - 1)) : name == pattern) {
                applyFault(*link, fault);
                ++count;
            }
        }
        return count;
    });
}

std::size_t openConnections(link_proxy &proxy, const std::string &name)
{
    return runOnProxyThread(proxy, [&] {
        const auto found = proxy.links.find(name);
        return found == proxy.links.end() ? std::size_t(0) : found->second->connections.size();
    });
}

} // namespace sesamespar::standins
