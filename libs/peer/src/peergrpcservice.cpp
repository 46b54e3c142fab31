#include "peergrpcservice.h"

#include "peercodec.h"

#include <algorithm>
#include <utility>

namespace Hornbeam {

namespace {

grpc::Status stoppingStatus()
{
    return {grpc::StatusCode::UNAVAILABLE, "the node is stopping"};
}

/** Sends the response to a fetch in chunks; deletes itself when the call has ended. */
class ChunkWriter : public grpc::ServerWriteReactor<PeerWire::FetchChunk>
{
public:
    void start(std::string content)
    {
        m_content = std::move(content);
        writeNext();
    }

    void OnWriteDone(bool ok) override
    {
        if (ok) {
            writeNext();
        } else {
            Finish({grpc::StatusCode::CANCELLED, "the connection was lost"});
        }
    }

    void OnDone() override
    {
        delete this;
    }

private:
    void writeNext()
    {
        if (m_offset >= m_content.size()) {
            Finish(grpc::Status::OK);
            return;
        }
        const auto n = std::min(chunkBytes, m_content.size() - m_offset);
        m_chunk.set_data(m_content.data() + m_offset, n);
        m_offset += n;
        StartWrite(&m_chunk);
    }

    std::string m_content;
    std::size_t m_offset = 0;
    PeerWire::FetchChunk m_chunk;
};

} // namespace

std::uint64_t PendingRequests::add(std::function<void()> cancel)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stopped) {
            m_cancel.emplace(++m_lastId, std::move(cancel));
            return m_lastId;
        }
    }
    cancel();
    return 0;
}

bool PendingRequests::remove(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    return m_cancel.erase(id) > 0;
}

void PendingRequests::cancelAll()
{
    std::map<std::uint64_t, std::function<void()>> cancelled;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        cancelled.swap(m_cancel);
    }
    for (const auto &[id, cancel] : cancelled) {
        cancel();
    }
}

PeerGrpcService::PeerGrpcService(Executor &control, PeerService &service)
    : m_control(control)
    , m_service(service)
    , m_pending(std::make_shared<PendingRequests>())
{
}

void PeerGrpcService::stop()
{
    m_pending->cancelAll();
}

grpc::ServerUnaryReactor *PeerGrpcService::Push(grpc::CallbackServerContext *context,
                                                const PeerWire::PushRequest *request,
                                                PeerWire::PushReply *reply)
{
    auto *reactor = context->DefaultReactor();
    const auto decoded = fromWire(*request);
    if (!decoded) {
        reactor->Finish({grpc::StatusCode::INVALID_ARGUMENT, decoded.error().message()});
        return reactor;
    }
    const auto id = m_pending->add([reactor] { reactor->Finish(stoppingStatus()); });
    if (id != 0) {
        m_control.post([pending = m_pending, service = &m_service, id, reactor, reply, push = *decoded] {
            if (pending->remove(id)) {
                *reply = toWire(service->handlePush(push));
                reactor->Finish(grpc::Status::OK);
            }
        });
    }
    return reactor;
}

grpc::ServerWriteReactor<PeerWire::FetchChunk> *PeerGrpcService::Fetch(grpc::CallbackServerContext *,
                                                                       const PeerWire::FetchRequest *request)
{
    auto *writer = new ChunkWriter;
    const auto id = m_pending->add([writer] { writer->Finish(stoppingStatus()); });
    if (id != 0) {
        m_control.post([pending = m_pending, service = &m_service, id, writer, fetch = fromWire(*request)] {
            if (pending->remove(id)) {
                writer->start(encodeFetchReply(service->handleFetch(fetch)));
            }
        });
    }
    return writer;
}

} // namespace Hornbeam
