#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/dissemination/peermessages.h>

#include <functional>

namespace Hornbeam {

/**
 * Sends requests to peers. Control thread only. Each callback is called exactly once on the control thread, at the
 * latest when the timeout has passed, and never before the function has returned.
 */
class PeerClient
{
public:
    template <typename T>
    using Callback = std::function<void(Result<T>)>;

    virtual ~PeerClient() = default;

    virtual void push(const Endpoint &peer, PushRequest request, Duration timeout, Callback<PushReply> callback) = 0;
    virtual void fetch(const Endpoint &peer, FetchRequest request, Duration timeout, Callback<FetchReply> callback) = 0;
};

/** Handles requests from peers. Called on the control thread. */
class PeerService
{
public:
    virtual ~PeerService() = default;

    virtual PushReply handlePush(const PushRequest &request) = 0;
    virtual FetchReply handleFetch(const FetchRequest &request) = 0;
};

} // namespace Hornbeam
