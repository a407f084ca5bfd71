#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>
#include <quota/TokenRequester.h>

#include <core/EnumTable.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <memory>
#include <ostream>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

enum class Event : std::uint8_t {
    Pause,
    Requests,
    Exchange,
    SendReport,
    DeliverReport,
    DuplicateReport,
    DeliverResponse,
    DuplicateResponse,
    AskForTokens,
    SendTokenRequest,
    DeliverTokenRequest,
    DuplicateTokenRequest,
    DeliverTokenResponse,
    LoseMessages,
    Restart,
    RestartAll, ///< Every holder restarts, and a new leader hears of each.
    ChangeLeader,
    Expire,
};

} // namespace

template <>
inline constexpr auto ENUM_NAMES<Event> = std::to_array<EnumName<Event>>({
    {Event::Pause, "Pause"},
    {Event::Requests, "Requests"},
    {Event::Exchange, "Exchange"},
    {Event::SendReport, "SendReport"},
    {Event::DeliverReport, "DeliverReport"},
    {Event::DuplicateReport, "DuplicateReport"},
    {Event::DeliverResponse, "DeliverResponse"},
    {Event::DuplicateResponse, "DuplicateResponse"},
    {Event::AskForTokens, "AskForTokens"},
    {Event::SendTokenRequest, "SendTokenRequest"},
    {Event::DeliverTokenRequest, "DeliverTokenRequest"},
    {Event::DuplicateTokenRequest, "DuplicateTokenRequest"},
    {Event::DeliverTokenResponse, "DeliverTokenResponse"},
    {Event::LoseMessages, "LoseMessages"},
    {Event::Restart, "Restart"},
    {Event::RestartAll, "RestartAll"},
    {Event::ChangeLeader, "ChangeLeader"},
    {Event::Expire, "Expire"},
});

namespace {

struct Step
{
    Event event = Event::Pause;
    int holder = 0;
    int amount = 0;
};

/// Prints a step of a counterexample as it is written in a test.
auto showValue(const Step &step, std::ostream &out) -> void
{
    out << "{Event::" << nameOf(step.event) << ", " << step.holder << ", " << step.amount << "}";
}

constexpr auto HOLDERS = 4;
constexpr auto RATE = 20.0;            // tokens per second
constexpr auto UNDIVIDED_BURST = 10.0; // tokens; too few for shares
constexpr auto DIVIDED_BURST = 100.0;  // tokens; enough for shares

// Bucket refills add doubles below 100, with a rounding error of at most 1e-14 each, and the bucket
// accepts a token that is short by up to 1e-9; a run admits fewer than 1,000 requests.
constexpr auto TOLERANCE_TOKENS = 1e-5;

/// Simulated fleet on true time, in seconds. Each process clock has its own rate and offset.
class Simulation
{
public:
    Simulation(std::vector<double> clockRates, double burst)
        : clockRates(std::move(clockRates))
        , burst(burst)
    {
        for (auto i = 0; i < HOLDERS; ++i)
            this->restart(i);
        this->changeLeader();
    }

    auto run(const Step &step) -> void
    {
        const auto index = static_cast<std::size_t>(step.holder);
        switch (step.event) {
        case Event::Pause:
            this->trueS += step.amount * 0.02;
            break;
        case Event::Requests:
            for (auto i = 0; i < step.amount; ++i) {
                if (this->holders[index]->tryAcquire("bale", this->holderTime(index)))
                    this->admissions.push_back(this->trueS);
            }
            break;
        case Event::Exchange:
            this->sendReport(index);
            this->trueS += 0.004;
            this->deliverReport(this->reports.size() - 1, false);
            this->trueS += 0.004;
            this->deliverResponse(this->responses.size() - 1, false);
            break;
        case Event::SendReport:
            this->sendReport(index);
            break;
        case Event::DeliverReport:
        case Event::DuplicateReport:
            if (!this->reports.empty()) {
                this->deliverReport(static_cast<std::size_t>(step.amount) % this->reports.size(),
                                    step.event == Event::DuplicateReport);
            }
            break;
        case Event::DeliverResponse:
        case Event::DuplicateResponse:
            if (!this->responses.empty()) {
                this->deliverResponse(static_cast<std::size_t>(step.amount)
                                          % this->responses.size(),
                                      step.event == Event::DuplicateResponse);
            }
            break;
        case Event::AskForTokens:
            this->sendTokenRequest(index, step.amount);
            this->trueS += 0.004;
            if (!this->tokenRequests.empty()) {
                this->deliverTokenRequest(this->tokenRequests.size() - 1, false);
                this->trueS += 0.004;
                this->deliverTokenResponse(this->tokenResponses.size() - 1);
            }
            break;
        case Event::SendTokenRequest:
            this->sendTokenRequest(index, step.amount);
            break;
        case Event::DeliverTokenRequest:
        case Event::DuplicateTokenRequest:
            if (!this->tokenRequests.empty()) {
                this->deliverTokenRequest(static_cast<std::size_t>(step.amount)
                                              % this->tokenRequests.size(),
                                          step.event == Event::DuplicateTokenRequest);
            }
            break;
        case Event::DeliverTokenResponse:
            if (!this->tokenResponses.empty())
                this->deliverTokenResponse(static_cast<std::size_t>(step.amount)
                                           % this->tokenResponses.size());
            break;
        case Event::LoseMessages:
            this->reports.clear();
            this->responses.clear();
            this->tokenRequests.clear();
            this->tokenResponses.clear();
            break;
        case Event::Restart:
            this->restart(step.holder);
            break;
        case Event::RestartAll:
            for (auto i = 0; i < HOLDERS; ++i)
                this->restart(i);
            for (auto i = std::size_t(0); i < HOLDERS; ++i)
                this->sendReport(i);
            this->trueS += step.amount * 0.02;
            this->changeLeader();
            for (auto round = 0; round < 3; ++round) {
                for (auto i = 0; i < HOLDERS; ++i)
                    this->run({Event::Exchange, i, 0});
            }
            break;
        case Event::ChangeLeader:
            this->changeLeader();
            break;
        case Event::Expire:
            this->ledger->expire(this->ledgerTime());
            break;
        }
    }

    [[nodiscard]] auto sharesWithinLimits() -> bool
    {
        auto rate = std::int64_t(0);
        auto sum = std::int64_t(0);
        for (auto i = std::size_t(0); i < HOLDERS; ++i) {
            for (const auto &share : this->holders[i]->heldShares(this->holderTime(i))) {
                rate += share.rate;
                sum += share.burst;
            }
        }
        return rate <= static_cast<std::int64_t>(RATE * 1000)
               && sum <= static_cast<std::int64_t>(this->burst * 1000);
    }

    [[nodiscard]] auto admissionsWithinBound() const -> bool
    {
        for (auto first = std::size_t(0); first < this->admissions.size(); ++first) {
            for (auto last = first; last < this->admissions.size(); ++last) {
                const auto length = this->admissions[last] - this->admissions[first];
                const auto count = static_cast<double>(last - first + 1);
                if (count > this->burst + RATE * length + TOLERANCE_TOKENS)
                    return false;
            }
        }
        return true;
    }

    std::vector<double> admissions; // true times

private:
    struct ReportInFlight
    {
        ShareReport report;
        TimePoint sentAt; // holder's clock
    };
    struct TokenRequestInFlight
    {
        TokenRequest request;
        std::uint64_t exchange = 0;
    };
    struct TokenResponseInFlight
    {
        HolderId holder;
        TokenResponse response;
        std::uint64_t exchange = 0;
    };
    struct ResponseInFlight
    {
        HolderId holder;
        ShareGrant grant;
        TimePoint leaseEnd; // holder's clock
    };

    auto clock(std::size_t index) const -> TimePoint
    {
        const auto seconds =
            1000.0 * static_cast<double>(index + 1) + this->trueS * this->clockRates[index];
        return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e9)));
    }

    auto holderTime(std::size_t index) const -> TimePoint
    {
        return this->clock(index);
    }

    auto ledgerTime() const -> TimePoint
    {
        return this->clock(HOLDERS + this->leaderships % 2);
    }

    auto restart(int index) -> void
    {
        const auto id = HolderId{"entry-" + std::to_string(index), ++this->incarnation};
        auto holder = std::make_unique<ShareHolder>(id, index < 2 ? "a" : "b", QuotaTiming());
        this->requesters[static_cast<std::size_t>(index)] = std::make_unique<TokenRequester>(
            id, QuotaTiming(),
            TokenRequesterHooks{
                .timeToOwnToken =
                    [raw = holder.get()](const std::string &organisation, TimePoint now) {
                        return raw->timeToToken(organisation, now);
                    },
                .requestWanted = {},
                .requestBegins =
                    [raw = holder.get()] {
                        raw->tokensRequested();
                    }});
        this->exchanges[static_cast<std::size_t>(index)] = ++this->lastExchange;
        this->holders[static_cast<std::size_t>(index)] = std::move(holder);
        this->ids[static_cast<std::size_t>(index)] = id;
    }

    auto changeLeader() -> void
    {
        ++this->leaderships;
        this->ledger = std::make_unique<ShareLedger>(QuotaTiming());
        this->ledger->setLimits(
            "bale",
            {static_cast<std::int64_t>(RATE * 1000), static_cast<std::int64_t>(this->burst * 1000)},
            this->ledgerTime());
        // An entry is registered by name before it is granted shares, and stays so when it
        // restarts.
        auto leadership = ShareLeadership{.number = this->leaderships};
        for (const auto &id : this->ids)
            leadership.earlierHolders.insert(id.instance);
        this->ledger->beginLeadership(std::move(leadership), this->ledgerTime());
    }

    auto sendReport(std::size_t index) -> void
    {
        const auto now = this->holderTime(index);
        this->reports.push_back({this->holders[index]->beginReport(now), now});
    }

    auto deliverReport(std::size_t index, bool keep) -> void
    {
        const auto [report, sentAt] = this->reports[index];
        auto grant = this->ledger->report(report, this->ledgerTime());
        this->responses.push_back({report.holder, std::move(grant), sentAt + 2s});
        if (!keep)
            this->reports.erase(this->reports.begin() + static_cast<std::ptrdiff_t>(index));
    }

    auto deliverResponse(std::size_t index, bool keep) -> void
    {
        const auto response = this->responses[index];
        for (auto i = std::size_t(0); i < HOLDERS; ++i) {
            if (this->ids[i] == response.holder)
                this->holders[i]->adopt(response.grant, response.leaseEnd, this->holderTime(i));
        }
        if (!keep)
            this->responses.erase(this->responses.begin() + static_cast<std::ptrdiff_t>(index));
    }

    /// A request whose response has not come is given up.
    auto sendTokenRequest(std::size_t index, int waiting) -> void
    {
        auto &requester = *this->requesters[index];
        const auto now = this->holderTime(index);
        requester.failed(now - TokenRequester::RETRY_PAUSE_MS);
        requester.setBacklog("bale", static_cast<std::size_t>(waiting), now);
        this->exchanges[index] = ++this->lastExchange;
        if (const auto request = requester.beginRequest(now))
            this->tokenRequests.push_back({*request, this->lastExchange});
    }

    auto deliverTokenRequest(std::size_t index, bool keep) -> void
    {
        const auto &[request, exchange] = this->tokenRequests[index];
        this->tokenResponses.push_back(
            {request.holder, this->ledger->takeTokens(request, this->ledgerTime()), exchange});
        if (!keep)
            this->tokenRequests.erase(this->tokenRequests.begin()
                                      + static_cast<std::ptrdiff_t>(index));
    }

    /// The connection of a request that was given up is closed, so its response gets lost.
    auto deliverTokenResponse(std::size_t index) -> void
    {
        const auto [holder, response, exchange] = this->tokenResponses[index];
        this->tokenResponses.erase(this->tokenResponses.begin()
                                   + static_cast<std::ptrdiff_t>(index));
        for (auto i = std::size_t(0); i < HOLDERS; ++i) {
            if (this->ids[i] != holder || this->exchanges[i] != exchange)
                continue;
            this->exchanges[i] = ++this->lastExchange;
            for (const auto &grant : this->requesters[i]->complete(response, this->holderTime(i)))
                this->admissions.insert(this->admissions.end(), grant.tokens, this->trueS);
        }
    }

    std::vector<double> clockRates; // of the holders, then of two alternating ledgers
    double burst = 0;
    double trueS = 0;
    std::uint64_t lastExchange = 0;
    std::uint64_t incarnation = 0;
    std::size_t leaderships = 0;
    std::unique_ptr<ShareLedger> ledger;
    std::array<std::unique_ptr<ShareHolder>, HOLDERS> holders;
    std::array<std::unique_ptr<TokenRequester>, HOLDERS> requesters;
    std::array<std::uint64_t, HOLDERS> exchanges{}; ///< Of the token request under way.
    std::array<HolderId, HOLDERS> ids;
    std::vector<ReportInFlight> reports;
    std::vector<ResponseInFlight> responses;
    std::vector<TokenRequestInFlight> tokenRequests;
    std::vector<TokenResponseInFlight> tokenResponses;
};

auto genStep() -> rc::Gen<Step>
{
    const auto event = rc::gen::weightedElement<Event>({{12, Event::Pause},
                                                        {10, Event::Requests},
                                                        {14, Event::Exchange},
                                                        {4, Event::SendReport},
                                                        {4, Event::DeliverReport},
                                                        {2, Event::DuplicateReport},
                                                        {4, Event::DeliverResponse},
                                                        {2, Event::DuplicateResponse},
                                                        {8, Event::AskForTokens},
                                                        {3, Event::SendTokenRequest},
                                                        {3, Event::DeliverTokenRequest},
                                                        {1, Event::DuplicateTokenRequest},
                                                        {3, Event::DeliverTokenResponse},
                                                        {1, Event::LoseMessages},
                                                        {1, Event::Restart},
                                                        {1, Event::RestartAll},
                                                        {1, Event::ChangeLeader},
                                                        {2, Event::Expire}});
    return rc::gen::apply(
        [](Event kind, int holder, int amount) {
            return Step{kind, holder, amount};
        },
        event, rc::gen::inRange(0, HOLDERS), rc::gen::inRange(0, 30));
}

} // namespace

// Guards against more than burst + rate × length admitted in some interval (invariant 7), or shares
// in use that exceed the limits, for any order of share transfers, faults and clock rates.
TEST_CASE("no interval admits more than burst and rate over all holders")
{
    // The default of 100 cases misses failures that need two delayed responses in a row.
    ::setenv("RC_PARAMS", "max_success=1000", 0);
    const auto burst = GENERATE(UNDIVIDED_BURST, DIVIDED_BURST);
    auto admitted = std::size_t(0);
    const auto held = rc::check([&] {
        // The rates of any two clocks differ by at most 4 % of true time, whose rate lies between
        // theirs.
        const auto slowest = *rc::gen::inRange(96, 101);
        auto rates = std::vector<double>();
        for (auto i = 0; i < HOLDERS + 2; ++i)
            rates.push_back(0.01 * *rc::gen::inRange(slowest, slowest + 5));
        const auto count = *rc::gen::inRange(50, 600);
        const auto steps =
            *rc::gen::container<std::vector<Step>>(static_cast<std::size_t>(count), genStep());
        auto simulation = Simulation(rates, burst);
        for (const auto &step : steps) {
            simulation.run(step);
            RC_ASSERT(simulation.sharesWithinLimits());
        }
        RC_ASSERT(simulation.admissionsWithinBound());
        admitted += simulation.admissions.size();
    });
    CHECK(held);
    // The property would hold trivially without admissions.
    CHECK(admitted > 1000);
}

// Guards against token buckets that fill too fast on a fast clock: 4 % above the rate over a
// minute.
TEST_CASE("holders with fast clocks keep to the rate under a long overload")
{
    const auto burst = GENERATE(UNDIVIDED_BURST, DIVIDED_BURST);
    auto simulation = Simulation(std::vector<double>(HOLDERS + 2, 1.04), burst);
    for (auto round = 0; round < 1500; ++round) {
        for (auto holder = 0; holder < HOLDERS; ++holder) {
            simulation.run({Event::Requests, holder, 3});
            simulation.run({Event::Exchange, holder, 0});
            simulation.run({Event::AskForTokens, holder, 3});
        }
        simulation.run({Event::Pause, 0, 1});
        REQUIRE(simulation.sharesWithinLimits());
    }
    CHECK(simulation.admissions.size() > 1000);
    CHECK(simulation.admissionsWithinBound());
}

// Guards against tokens that gather while a holder that the new leader has not heard of uses a
// share of the earlier leader.
TEST_CASE("no tokens gather before the shares of an earlier leader have ended")
{
    auto simulation = Simulation(std::vector<double>(HOLDERS + 2, 0.96), UNDIVIDED_BURST);
    const auto steps = std::vector<Step>{
        {Event::RestartAll, 0, 0},   {Event::Requests, 1, 5},     {Event::Exchange, 1, 0},
        {Event::ChangeLeader, 0, 0}, {Event::Exchange, 0, 0},     {Event::Requests, 2, 1},
        {Event::Exchange, 0, 0},     {Event::Pause, 0, 39},       {Event::AskForTokens, 0, 1},
        {Event::Pause, 0, 26},       {Event::AskForTokens, 0, 1}, {Event::Exchange, 2, 0},
        {Event::AskForTokens, 0, 1}, {Event::Pause, 0, 20},       {Event::Requests, 1, 9},
        {Event::AskForTokens, 0, 1}, {Event::Pause, 0, 21},       {Event::Exchange, 0, 0},
        {Event::AskForTokens, 0, 10}};
    for (const auto &step : steps)
        simulation.run(step);
    CHECK(simulation.admissions.size() >= 9);
    CHECK(simulation.admissionsWithinBound());
}

} // namespace auburnrail
