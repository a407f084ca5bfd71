#include <standin/StandInReplicator.h>

#include <endpoint/ControlCodec.h>
#include <http/HttpConnection.h>

namespace auburnrail {

namespace {

constexpr auto PULL_TIMEOUT = std::chrono::seconds(1);
constexpr auto RETRY_DELAY = std::chrono::milliseconds(50);

} // namespace

struct StandInReplicator::Source
{
    Source(std::uint64_t sourceGeneration, std::string sourceAddress)
        : generation(sourceGeneration)
        , address(std::move(sourceAddress))
        , connection(std::make_unique<HttpConnection>(address))
    {
    }

    std::uint64_t generation;
    std::string address;
    std::unique_ptr<HttpConnection> connection;
    std::uint64_t lastExchange = 0;
};

StandInReplicator::StandInReplicator(StandInDatabase &pulledDatabase, StandInFaults &serverFaults,
                                     Executor serverExecutor, Duration pullWait)
    : database(pulledDatabase)
    , faults(serverFaults)
    , executor(std::move(serverExecutor))
    , wait(pullWait)
{
}

auto StandInReplicator::restart() -> void
{
    const auto number = ++this->generation;
    const auto next = this->database.nextPull();
    if (next)
        this->again(std::make_shared<Source>(number, next->address), Duration::zero());
}

auto StandInReplicator::pull(const std::shared_ptr<Source> &source) -> void
{
    auto next = this->database.nextPull();
    if (source->generation != this->generation || !next)
        return;
    const auto host = source->address.substr(0, source->address.rfind(':'));
    if (this->faults.isSilentTo(next->source) || this->faults.isSilentTo(host)) {
        this->again(source, RETRY_DELAY);
        return;
    }
    if (!source->connection->isUsable())
        source->connection = std::make_unique<HttpConnection>(source->address);
    next->request.exchangeId = std::to_string(++source->lastExchange);
    next->request.waitLimit = this->wait;
    auto message = encodeLogRequest(next->request);
    message.headers.emplace("x-auburnrail-instance", next->request.endpoint);
    const auto sentAt = this->executor.now();
    const auto result = source->connection->exchange(message, PULL_TIMEOUT + this->wait);
    const auto answer = result.phase == ExchangePhase::Answered
                            ? decodeLogResponse(result.response)
                            : absl::StatusOr<LogResponse>(absl::UnavailableError(result.error));
    if (!answer.ok() || answer->exchangeId != next->request.exchangeId) {
        this->again(source, RETRY_DELAY);
        return;
    }
    const auto lag = answer->entries.empty() ? Duration::zero() : this->faults.lag();
    if (lag == Duration::zero()) {
        this->finish(source, *answer, sentAt);
        return;
    }
    this->executor.postAfter(
        lag, [this, source, answer = *answer, sentAt] { this->finish(source, answer, sentAt); });
}

auto StandInReplicator::finish(const std::shared_ptr<Source> &source, const LogResponse &answer,
                               TimePoint sentAt) -> void
{
    if (this->faults.isSilentTo("")) {
        // A frozen server applies nothing.
        this->executor.postAfter(
            RETRY_DELAY, [this, source, answer, sentAt] { this->finish(source, answer, sentAt); });
        return;
    }
    this->database.takeLog(answer, sentAt);
    if (!answer.entries.empty())
        this->faults.notifyChange();
    // A source of another term answers at once; it is not asked again without a delay.
    const auto progressed = answer.matches && answer.primary;
    this->again(source, progressed ? Duration::zero() : RETRY_DELAY / 10);
}

auto StandInReplicator::again(const std::shared_ptr<Source> &source, Duration delay) -> void
{
    const auto task = [this, source] {
        this->pull(source);
    };
    if (delay == Duration::zero())
        this->executor.post(task);
    else
        this->executor.postAfter(delay, task);
}

} // namespace auburnrail
