#include <standin/StandInFaults.h>

#include <endpoint/EndpointCodec.h>

#include <core/RankedLock.h>

namespace auburnrail {

namespace {

constexpr auto MAX_RECORDED_BYTES = std::size_t(16) * 1024 * 1024;
constexpr auto EVERY_PEER = "*";

auto now() -> TimePoint
{
    return std::chrono::steady_clock::now();
}

} // namespace

StandInFaults::StandInFaults(Duration startLag, Duration startDelay)
    : replicationLag(startLag)
    , exchangeDelay(startDelay)
{
}

auto StandInFaults::apply(const FaultCommand &command) -> void
{
    {
        const RankedLock lock(this->mutex);
        switch (command.kind) {
        case FaultKind::Freeze:
            this->frozen = command.on;
            this->resumptions += command.on ? 0 : 1;
            break;
        case FaultKind::Cut:
            for (const auto &peer : command.peers) {
                if (command.on)
                    this->cutPeers.insert(peer);
                else
                    this->cutPeers.erase(peer);
            }
            break;
        case FaultKind::Late:
            this->lateAnswers = command.count;
            this->lateness = command.length;
            break;
        case FaultKind::Crossed:
            this->crossedAnswers = command.count;
            break;
        case FaultKind::Truncated:
            this->truncatedAnswers = command.count;
            break;
        case FaultKind::Lag:
            this->replicationLag = command.length;
            break;
        case FaultKind::Delay:
            this->exchangeDelay = command.length;
            break;
        case FaultKind::Record:
            this->recording = command.on;
            break;
        case FaultKind::Crash:
        case FaultKind::Reset:
        case FaultKind::Leaving:
            break;
        }
    }
    this->changed.notifyAll();
}

auto StandInFaults::admit(const std::string &peer) -> bool
{
    const RankedLock lock(this->mutex);
    if (this->exchangeDelay > Duration::zero())
        this->waitUntil(now() + this->exchangeDelay);
    while ((this->frozen || this->isCut(peer)) && !this->stopping) {
        // A cut exchange is held too, because a lost packet gives its sender no answer.
        const auto wasCut = this->isCut(peer);
        const auto resumptionsBefore = this->resumptions;
        ++this->held;
        this->changed.wait(this->mutex);
        --this->held;
        if (wasCut && !this->isCut(peer))
            return false;
        // The exchange ran when the server resumed, even if its peer was cut off before this thread
        // woke up.
        if (!wasCut && this->resumptions != resumptionsBefore)
            break;
    }
    return !this->stopping;
}

auto StandInFaults::heldExchanges() const -> std::size_t
{
    const RankedLock lock(this->mutex);
    return this->held;
}

auto StandInFaults::holdWhileFrozen() -> void
{
    const RankedLock lock(this->mutex);
    while (this->frozen && !this->stopping)
        this->changed.wait(this->mutex);
}

auto StandInFaults::isSilentTo(const std::string &peer) const -> bool
{
    const RankedLock lock(this->mutex);
    return this->frozen || this->isCut(peer);
}

auto StandInFaults::distort(const EndpointResponse &answer) -> HttpResponse
{
    const RankedLock lock(this->mutex);
    auto sent = answer;
    if (this->crossedAnswers > 0 && !this->previous.exchangeId.empty()) {
        --this->crossedAnswers;
        sent = this->previous;
    }
    this->previous = answer;
    auto response = encodeEndpointResponse(sent);
    if (this->truncatedAnswers > 0) {
        --this->truncatedAnswers;
        response.withheldBytes = response.body.size() / 2;
    }
    if (this->lateAnswers > 0) {
        --this->lateAnswers;
        this->waitUntil(now() + this->lateness);
    }
    return response;
}

auto StandInFaults::pause(Duration length) -> void
{
    const RankedLock lock(this->mutex);
    this->waitUntil(now() + length);
}

auto StandInFaults::notifyChange() -> void
{
    {
        const RankedLock lock(this->mutex);
        ++this->changeCount;
    }
    this->changed.notifyAll();
}

auto StandInFaults::changes() const -> std::uint64_t
{
    const RankedLock lock(this->mutex);
    return this->changeCount;
}

auto StandInFaults::waitForChange(std::uint64_t seen, TimePoint deadline) -> bool
{
    const RankedLock lock(this->mutex);
    while (this->changeCount == seen && !this->stopping) {
        if (!this->changed.waitUntil(this->mutex, deadline))
            return this->changeCount != seen;
    }
    return !this->stopping;
}

auto StandInFaults::record(const HttpRequest &request) -> void
{
    const RankedLock lock(this->mutex);
    if (!this->recording || this->recorded.size() > MAX_RECORDED_BYTES)
        return;
    this->recorded += request.method + " " + request.target + "\n";
    for (const auto &[name, value] : request.headers)
        this->recorded.append(name).append(": ").append(value).append("\n");
    this->recorded += "\n" + request.body + "\n";
}

auto StandInFaults::received() const -> std::string
{
    const RankedLock lock(this->mutex);
    return this->recorded;
}

auto StandInFaults::lag() const -> Duration
{
    const RankedLock lock(this->mutex);
    return this->replicationLag;
}

auto StandInFaults::stop() -> void
{
    {
        const RankedLock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notifyAll();
}

auto StandInFaults::isCut(const std::string &peer) const -> bool
{
    return this->cutPeers.contains(EVERY_PEER) || this->cutPeers.contains(peer);
}

auto StandInFaults::waitUntil(TimePoint deadline) -> void
{
    while (!this->stopping && this->changed.waitUntil(this->mutex, deadline)) {
    }
}

} // namespace auburnrail
