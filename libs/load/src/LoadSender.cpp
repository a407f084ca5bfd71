#include <load/LoadSender.h>

#include <algorithm>
#include <set>

namespace auburnrail {

namespace {

constexpr auto MAX_RESENDS = std::uint64_t(2);
constexpr auto RESEND_DELAY = std::chrono::milliseconds(20);
constexpr auto READ_BACK_RETRY = std::chrono::milliseconds(200);

} // namespace

LoadSender::LoadSender(const LoadProfile &loadProfile,
                       std::map<std::string, std::string> callerKeys, std::uint64_t runMark,
                       LoadHooks senderHooks, LoadAccounting &loadAccounting)
    : profile(loadProfile)
    , keys(std::move(callerKeys))
    , runNumber(runMark)
    , hooks(std::move(senderHooks))
    , accounting(loadAccounting)
{
}

auto LoadSender::run(const std::vector<PlannedRequest> &plan, TimePoint start) -> void
{
    this->startedAt = start;
    for (const auto &planned : plan) {
        this->hooks.waitUntil(start + planned.at);
        this->send(planned, start);
    }
}

auto LoadSender::makeRequest(const PlannedRequest &planned, LoadSession &session) -> CallerRequest
{
    auto request = CallerRequest();
    request.requestId =
        "load-" + std::to_string(this->runNumber) + "-" + std::to_string(planned.id);
    request.service = this->profile.services[planned.service];
    const auto &organisation = this->profile.organisations[planned.organisation].name;
    if (const auto key = this->keys.find(organisation); key != this->keys.end())
        request.key = key->second;
    request.sessionToken = session.token;
    request.deadline = this->hooks.now() + this->profile.deadline;
    return request;
}

auto LoadSender::send(const PlannedRequest &planned, TimePoint start) -> void
{
    auto &session = this->sessions[planned.session];
    auto result = LoadResult();
    result.request = planned;
    this->accounting.began(planned, this->hooks.now() - start);
    if (planned.kind == LoadKind::Transaction)
        this->sendTransaction(planned, session, result);
    else
        this->sendStatement(planned, session, result);
    const auto ran = result.answer.outcome == Outcome::Ran;
    if (ran && (planned.kind == LoadKind::Write || planned.kind == LoadKind::Transaction)) {
        session.acknowledged.push_back(writeMark(planned.id));
    } else if (ran) {
        result.missesOwnWrite = std::any_of(
            session.acknowledged.begin(), session.acknowledged.end(),
            [&](const auto &mark) { return result.answer.result.find(mark) == std::string::npos; });
    }
    result.endedAt = this->hooks.now() - start;
    this->accounting.ended(result);
}

auto LoadSender::exchange(std::size_t target, CallerRequest &request, LoadSession &session,
                          LoadResult &result) -> void
{
    result.withinRate = this->accounting.sent(result.request, this->hooks.now() - this->startedAt);
    auto received = this->hooks.exchange(target, request);
    result.answer = std::move(received.answer);
    result.isWhole = result.isWhole && received.isWhole;
    if (!result.answer.sessionToken.empty())
        session.token = result.answer.sessionToken;
    request.sessionToken = session.token;
}

auto LoadSender::sendStatement(const PlannedRequest &planned, LoadSession &session,
                               LoadResult &result) -> void
{
    auto request = this->makeRequest(planned, session);
    const auto key = sessionKey(this->runNumber, planned.session, false);
    if (planned.kind == LoadKind::Write) {
        request.mode = AccessMode::Write;
        request.statement = "APPEND " + key + " " + writeMark(planned.id);
        request.idempotencyKey = request.requestId;
    } else {
        request.statement = "GET " + key;
        if (planned.kind == LoadKind::AgedRead)
            request.maxAge = this->profile.maxAge;
    }
    this->exchange(session.nextTarget++ % this->hooks.targets, request, session, result);
    auto wasUnknown = false;
    while (planned.kind == LoadKind::Write && result.answer.outcome != Outcome::Ran
           && result.resends < MAX_RESENDS) {
        wasUnknown = wasUnknown || result.answer.outcome == Outcome::Unknown;
        if (!wasUnknown || this->hooks.now() + RESEND_DELAY >= request.deadline)
            break;
        ++result.resends;
        this->hooks.waitUntil(this->hooks.now() + RESEND_DELAY);
        this->exchange(session.nextTarget++ % this->hooks.targets, request, session, result);
    }
    // "not-run" of a resend says nothing about the first try.
    if (wasUnknown && result.answer.outcome == Outcome::NotRun)
        result.answer.outcome = Outcome::Unknown;
}

auto LoadSender::sendTransaction(const PlannedRequest &planned, LoadSession &session,
                                 LoadResult &result) -> void
{
    auto request = this->makeRequest(planned, session);
    const auto target = session.nextTarget++ % this->hooks.targets;
    request.kind = RequestKind::Begin;
    request.mode = AccessMode::Write;
    this->exchange(target, request, session, result);
    request.transaction = result.answer.transaction;
    request.kind = RequestKind::Statement;
    for (const auto pair : {false, true}) {
        if (result.answer.outcome != Outcome::Ran)
            break;
        request.statement = "APPEND " + sessionKey(this->runNumber, planned.session, pair) + " "
                            + writeMark(planned.id);
        this->exchange(target, request, session, result);
    }
    if (result.answer.outcome == Outcome::Ran) {
        request.kind = RequestKind::Commit;
        request.statement.clear();
        this->exchange(target, request, session, result);
        return;
    }
    if (!request.transaction.empty()) {
        // Nothing was committed; the rollback only frees the connection early.
        auto ignored = LoadResult{.request = planned};
        request.kind = RequestKind::Rollback;
        request.statement.clear();
        this->exchange(target, request, session, ignored);
    }
}

auto LoadSender::readBack(const std::vector<PlannedRequest> &plan, Duration limit) -> void
{
    const auto deadline = this->hooks.now() + limit;
    auto seen = std::set<std::size_t>();
    for (const auto &planned : plan) {
        if (!seen.insert(planned.session).second)
            continue;
        const auto value = this->readValue(planned, false, deadline);
        const auto pairValue = this->readValue(planned, true, deadline);
        this->accounting.verify(planned.session, value, pairValue);
    }
}

auto LoadSender::readValue(const PlannedRequest &planned, bool pair, TimePoint limit)
    -> std::optional<std::string>
{
    auto target = planned.session;
    do {
        // Without a token the position is unknown, so that the read goes to the primary.
        auto session = LoadSession();
        auto request = this->makeRequest(planned, session);
        request.requestId += pair ? "-pair" : "-back";
        request.statement = "GET " + sessionKey(this->runNumber, planned.session, pair);
        const auto received = this->hooks.exchange(target++ % this->hooks.targets, request);
        if (received.answer.outcome == Outcome::Ran)
            return received.answer.result;
        this->hooks.waitUntil(this->hooks.now() + READ_BACK_RETRY);
    } while (this->hooks.now() < limit);
    return std::nullopt;
}

} // namespace auburnrail
