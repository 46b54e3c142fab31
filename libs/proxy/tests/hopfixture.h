#pragma once

#include "relayfixture.h"

#include <array>
#include <functional>

namespace Hornbeam {

/** The hops on which a node reads responses. */
enum class Hop {
    TargetToNode,
    NodeToNode,
};

constexpr std::array<Hop, 2> allHops = {Hop::TargetToNode, Hop::NodeToNode};

const char *hopName(Hop hop);

/**
 * A node whose only target is a stand-in that sends raw bytes. On the hop NodeToNode, the stand-in takes the place of
 * the node on the target's host. Callers connect to the node that reads from the stand-in, so that no other node can
 * hide what it lets pass.
 */
class HopFixture : public RelayFixture
{
public:
    /** Starts a node that reads from @p standIn on @p hop. Ends the one that was started before. */
    void startReading(Hop hop, const TestTarget &standIn);

    TestSocket connect() const;

    /** Sends @p requestText on a new connection and returns the response, without content if there is none. */
    TestMessage exchange(const std::string &requestText) const;

    /** The node that reads from the stand-in. */
    ProxyServer &server() const;

    /** Text of a GET request for @p path with the id "c1". */
    static std::string get(const std::string &path = "/");

    /** Head of a successful response to get(), which passes for one of a target and for one of a node. */
    static std::string responseHead(const std::string &fields = {}, const std::string &reason = "OK");

private:
    const RelayNode *m_reader = nullptr;
};

} // namespace Hornbeam
