#ifndef AUBURNRAIL_QUOTA_TESTS_SHARESIMULATION_H
#define AUBURNRAIL_QUOTA_TESTS_SHARESIMULATION_H

#include "ShareStep.h"

#include <quota/ShareHolder.h>
#include <quota/ShareLedger.h>
#include <quota/TokenRequester.h>

#include <array>
#include <memory>
#include <vector>

namespace auburnrail {

/// Simulated fleet on true time, in seconds. Each process clock has its own rate and offset.
class ShareSimulation
{
public:
    static constexpr auto HOLDERS = 4;

    ShareSimulation(std::vector<double> clockRates, double burst)
        : clockRates(std::move(clockRates))
        , burst(burst)
    {
        for (auto i = 0; i < HOLDERS; ++i)
            this->restart(i);
        this->changeLeader();
    }

    auto run(const ShareStep &step) -> void
    {
        const auto index = static_cast<std::size_t>(step.holder);
        switch (step.event) {
        case ShareEvent::Pause:
            this->trueS += step.amount * 0.02;
            break;
        case ShareEvent::Requests:
            for (auto i = 0; i < step.amount; ++i) {
                if (this->holders[index]->tryAcquire("bale", this->holderTime(index)))
                    this->admissions.push_back(this->trueS);
            }
            break;
        case ShareEvent::Exchange:
            this->sendReport(index);
            this->trueS += 0.004;
            this->deliverReport(this->reports.size() - 1, false);
            this->trueS += 0.004;
            this->deliverResponse(this->responses.size() - 1, false);
            break;
        case ShareEvent::SendReport:
            this->sendReport(index);
            break;
        case ShareEvent::DeliverReport:
        case ShareEvent::DuplicateReport:
            if (!this->reports.empty()) {
                this->deliverReport(static_cast<std::size_t>(step.amount) % this->reports.size(),
                                    step.event == ShareEvent::DuplicateReport);
            }
            break;
        case ShareEvent::DeliverResponse:
        case ShareEvent::DuplicateResponse:
            if (!this->responses.empty()) {
                this->deliverResponse(static_cast<std::size_t>(step.amount)
                                          % this->responses.size(),
                                      step.event == ShareEvent::DuplicateResponse);
            }
            break;
        case ShareEvent::AskForTokens:
            this->sendTokenRequest(index, step.amount);
            this->trueS += 0.004;
            if (!this->tokenRequests.empty()) {
                this->deliverTokenRequest(this->tokenRequests.size() - 1, false);
                this->trueS += 0.004;
                this->deliverTokenResponse(this->tokenResponses.size() - 1);
            }
            break;
        case ShareEvent::SendTokenRequest:
            this->sendTokenRequest(index, step.amount);
            break;
        case ShareEvent::DeliverTokenRequest:
        case ShareEvent::DuplicateTokenRequest:
            if (!this->tokenRequests.empty()) {
                this->deliverTokenRequest(static_cast<std::size_t>(step.amount)
                                              % this->tokenRequests.size(),
                                          step.event == ShareEvent::DuplicateTokenRequest);
            }
            break;
        case ShareEvent::DeliverTokenResponse:
            if (!this->tokenResponses.empty())
                this->deliverTokenResponse(static_cast<std::size_t>(step.amount)
                                           % this->tokenResponses.size());
            break;
        case ShareEvent::LoseMessages:
            this->reports.clear();
            this->responses.clear();
            this->tokenRequests.clear();
            this->tokenResponses.clear();
            break;
        case ShareEvent::Restart:
            this->restart(step.holder);
            break;
        case ShareEvent::RestartAll:
            for (auto i = 0; i < HOLDERS; ++i)
                this->restart(i);
            for (auto i = std::size_t(0); i < HOLDERS; ++i)
                this->sendReport(i);
            this->trueS += step.amount * 0.02;
            this->changeLeader();
            for (auto round = 0; round < 3; ++round) {
                for (auto i = 0; i < HOLDERS; ++i)
                    this->run({ShareEvent::Exchange, i, 0});
            }
            break;
        case ShareEvent::ChangeLeader:
            this->changeLeader();
            break;
        case ShareEvent::Expire:
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
    static constexpr auto RATE = 20.0; // tokens per second

    // Bucket refills add doubles below 100, with a rounding error of at most 1e-14 each, and the
    // bucket accepts a token that is short by up to 1e-9; a run admits fewer than 1,000 requests.
    static constexpr auto TOLERANCE_TOKENS = 1e-5;

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
        this->responses.push_back(
            {report.holder, std::move(grant), sentAt + std::chrono::seconds(2)});
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

} // namespace auburnrail

#endif
