// Stand-in for the HTTP interface of a daemon in tests: answers requests from a list of steps and records them.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace sesamespar {

/// How one request is answered.
struct scripted_step {
    int status = 200;
    std::string body;
    bool closeWithoutAnswer = false; ///< Reads the request and closes the connection without an answer.
};

/// Listens on a free port of the loopback address. The last step is repeated. If `getSteps` is not empty, it applies to
/// GET requests, and `steps` to all others.
class scripted_server
{
public:
    explicit scripted_server(std::vector<scripted_step> steps, std::vector<scripted_step> getSteps = {})
        : m_steps(std::move(steps))
        , m_getSteps(std::move(getSteps))
        , m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
        , m_thread([this] { serve(); })
    {
    }

    ~scripted_server()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        // Unblocks the thread, which waits for a connection.
        boost::asio::ip::tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// All requests received so far, each with head and body.
    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    void serve()
    {
        while (true) {
            boost::asio::ip::tcp::socket connection(m_context);
            boost::system::error_code failure;
            m_acceptor.accept(connection, failure);
            {
                const std::lock_guard lock(m_mutex);
                if (m_stopping || failure) {
                    return;
                }
            }
            answer(connection);
        }
    }

    static std::size_t bodyLength(const std::string &head)
    {
        // The HTTP library's client writes no space after the colon.
        const std::string name = "Content-Length:";
        const std::size_t at = head.find(name);
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
    }

    void answer(boost::asio::ip::tcp::socket &connection)
    {
        boost::system::error_code failure;
        std::string request;
        const std::size_t head =
            boost::asio::read_until(connection, boost::asio::dynamic_buffer(request), "\r\n\r\n", failure);
        if (failure) {
            return;
        }
        const std::size_t requestBytes = head + bodyLength(request.substr(0, head));
        if (request.size() < requestBytes) {
            boost::asio::read(connection,
                              boost::asio::dynamic_buffer(request),
                              boost::asio::transfer_exactly(requestBytes - request.size()),
                              failure);
        }
        const scripted_step step = nextStep(request);
        if (!step.closeWithoutAnswer) {
            const std::string text = "HTTP/1.1 " + std::to_string(step.status) + " Scripted\r\nContent-Length: "
                + std::to_string(step.body.size()) + "\r\nConnection: close\r\n\r\n" + step.body;
            boost::asio::write(connection, boost::asio::buffer(text), failure);
        }
    }

    scripted_step nextStep(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
        const bool get = !m_getSteps.empty() && request.compare(0, 4, "GET ") == 0;
        const std::vector<scripted_step> &steps = get ? m_getSteps : m_steps;
        std::size_t &used = get ? m_getStepsUsed : m_stepsUsed;
        used = std::min(used + 1, steps.size());
        return steps[used - 1];
    }

    const std::vector<scripted_step> m_steps;
    const std::vector<scripted_step> m_getSteps;
    std::size_t m_stepsUsed = 0;
    std::size_t m_getStepsUsed = 0;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    bool m_stopping = false;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace sesamespar
