#pragma once

#include <hornbeam/base/executor.h>
#include <hornbeam/dissemination/peerclient.h>

#include "peer.grpc.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace Hornbeam {

/**
 * Requests that wait for the control thread. Finishing them all lets the server stop although the control thread,
 * which stops it, cannot run their handlers any more. Safe from any thread.
 */
class WaitingRequests
{
public:
    /** Adds a request; @p cancel ends it with an error. Returns 0, and calls @p cancel, after cancelAll(). */
    std::uint64_t add(std::function<void()> cancel);

    /** Removes the request and returns true, unless it was cancelled. */
    bool take(std::uint64_t id);

    void cancelAll();

private:
    std::mutex m_mutex;
    bool m_stopped = false;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::function<void()>> m_cancel;
};

/** Receives requests on gRPC's threads and lets the control thread answer them. */
class PeerGrpcService : public hornbeam::peer::wire::Peer::CallbackService
{
public:
    PeerGrpcService(Executor &control, PeerService &service);

    /** Ends all requests that have no answer yet. Afterwards the PeerService is not called any more. */
    void stop();

    grpc::ServerUnaryReactor *Push(grpc::CallbackServerContext *context,
                                   const hornbeam::peer::wire::PushRequest *request,
                                   hornbeam::peer::wire::PushReply *reply) override;

    grpc::ServerWriteReactor<hornbeam::peer::wire::FetchChunk> *Fetch(
        grpc::CallbackServerContext *context, const hornbeam::peer::wire::FetchRequest *request) override;

private:
    Executor &m_control;
    PeerService &m_service;
    std::shared_ptr<WaitingRequests> m_waiting;
};

} // namespace Hornbeam
