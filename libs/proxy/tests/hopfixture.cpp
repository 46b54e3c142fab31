#include "hopfixture.h"

namespace Hornbeam {

const char *hopName(Hop hop)
{
    return hop == Hop::TargetToNode ? "target to node" : "node to node";
}

void HopFixture::startReading(Hop hop, const TestTarget &standIn)
{
    m_reader = nullptr;
    front.reset();
    nodes.clear();
    targets.clear();
    if (hop == Hop::TargetToNode) {
        addTarget(standIn, "i-1");
        start();
        m_reader = nodes.front().get();
        return;
    }
    addTargetBehind(standIn.address(), standIn, "i-1", 10);
    start();
    m_reader = front.get();
}

TestSocket HopFixture::connect() const
{
    return TestSocket::connectTo(m_reader->server->localEndpoint());
}

TestMessage HopFixture::exchange(const std::string &requestText) const
{
    auto socket = connect();
    socket.send(requestText);
    return socket.read().value_or(TestMessage());
}

ProxyServer &HopFixture::server() const
{
    return *m_reader->server;
}

std::string HopFixture::get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: rota.example\r\nCall-Id: c1\r\n\r\n";
}

std::string HopFixture::responseHead(const std::string &fields, const std::string &reason)
{
    return "HTTP/1.1 200 " + reason + "\r\nSigned-By: t\r\nCall-Id: c1\r\n" + fields + "\r\n";
}

} // namespace Hornbeam
