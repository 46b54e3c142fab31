#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>
#include <hornbeam/dissemination/peermessages.h>

#include <functional>

namespace Hornbeam {

/**
 * Sends requests to the peers. Control thread only; each callback runs once on the control thread, at the latest when
 * the timeout has passed, and never before the function returns.
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

/** Answers the requests of peers. Called on the control thread. */
class PeerService
{
public:
    virtual ~PeerService() = default;

    virtual PushReply handlePush(const PushRequest &request) = 0;
    virtual FetchReply handleFetch(const FetchRequest &request) = 0;
};

} // namespace Hornbeam
