#pragma once

#include <hornbeam/base/executor.h>
#include <hornbeam/dissemination/peerclient.h>

namespace Hornbeam {

/** Answers every request with Unavailable. */
class UnreachablePeers : public PeerClient
{
public:
    explicit UnreachablePeers(Executor &executor)
        : m_executor(executor)
    {
    }
    void push(const Endpoint &, PushRequest, Duration, Callback<PushReply> callback) override
    {
        m_executor.post([callback] { callback(makeError(ErrorCode::Unavailable, "no transport")); });
    }
    void fetch(const Endpoint &, FetchRequest, Duration, Callback<FetchReply> callback) override
    {
        m_executor.post([callback] { callback(makeError(ErrorCode::Unavailable, "no transport")); });
    }

private:
    Executor &m_executor;
};

} // namespace Hornbeam
