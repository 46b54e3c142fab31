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
 * Requests that wait for the control thread. The server cannot stop while they are open, and the control thread cannot
 * handle them while it stops the server; cancelling them avoids the deadlock. Thread-safe.
 */
class PendingRequests
{
public:
    /**
     * Adds a request, which @p cancel ends with an error, and returns its ID. After cancelAll(), calls @p cancel and
     * returns 0.
     */
    std::uint64_t add(std::function<void()> cancel);

    /** Removes a request so that it can be handled. Returns false when it has been cancelled. */
    bool remove(std::uint64_t id);

    /** Cancels all requests, and each one that is added later. */
    void cancelAll();

private:
    std::mutex m_mutex;
    bool m_stopped = false;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::function<void()>> m_cancel;
};

/** Receives requests on gRPC threads and handles them on the control thread. */
class PeerGrpcService : public hornbeam::peer::wire::Peer::CallbackService
{
public:
    PeerGrpcService(Executor &control, PeerService &service);

    /** Cancels the requests that have not been handled yet. Afterwards the PeerService is not called any more. */
    void stop();

    grpc::ServerUnaryReactor *Push(grpc::CallbackServerContext *context,
                                   const hornbeam::peer::wire::PushRequest *request,
                                   hornbeam::peer::wire::PushReply *reply) override;

    grpc::ServerWriteReactor<hornbeam::peer::wire::FetchChunk> *Fetch(
        grpc::CallbackServerContext *context, const hornbeam::peer::wire::FetchRequest *request) override;

private:
    Executor &m_control;
    PeerService &m_service;
    std::shared_ptr<PendingRequests> m_pending;
};

} // namespace Hornbeam
