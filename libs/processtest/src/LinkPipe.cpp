#include "LinkPipe.h"

#include <core/RankedLock.h>

#include <Poco/Exception.h>

#include <array>

namespace auburnrail::detail {

namespace {

constexpr auto CHUNK_BYTES = std::size_t(16384);

} // namespace

LinkPipe::LinkPipe(const Poco::Net::StreamSocket &from, const Poco::Net::StreamSocket &to,
                   LinkState &linkState)
    : source(from)
    , target(to)
    , link(linkState)
    , reader([this] { this->readLoop(); })
    , writer([this] { this->writeLoop(); })
{
}

LinkPipe::~LinkPipe()
{
    this->reader.join();
    this->writer.join();
}

auto LinkPipe::shutdown() -> void
{
    for (auto *socket : {&this->source, &this->target}) {
        try {
            socket->shutdown();
        } catch (const Poco::Exception &) {
            // It is closed already.
        }
    }
}

auto LinkPipe::readLoop() -> void
{
    auto buffer = std::array<char, CHUNK_BYTES>();
    auto length = 1;
    while (length > 0) {
        try {
            length = this->source.receiveBytes(buffer.data(), CHUNK_BYTES);
        } catch (const Poco::Exception &) {
            length = 0;
        }
        const RankedLock lock(this->mutex);
        this->chunks.push_back(Chunk{std::chrono::steady_clock::now(),
                                     std::string(buffer.data(), static_cast<std::size_t>(length))});
        this->added.notifyOne();
    }
}

auto LinkPipe::takeChunk() -> Chunk
{
    const RankedLock lock(this->mutex);
    while (this->chunks.empty())
        this->added.wait(this->mutex);
    auto chunk = std::move(this->chunks.front());
    this->chunks.pop_front();
    return chunk;
}

auto LinkPipe::writeLoop() -> void
{
    try {
        for (auto chunk = this->takeChunk(); this->link.waitToDeliver(chunk.readAt);
             chunk = this->takeChunk()) {
            if (chunk.bytes.empty()) {
                this->target.shutdownSend();
                return;
            }
            this->target.sendBytes(chunk.bytes.data(), static_cast<int>(chunk.bytes.size()));
        }
    } catch (const Poco::Exception &) {
        this->shutdown(); // The target is gone; the reading side has to end as well.
    }
}

} // namespace auburnrail::detail
