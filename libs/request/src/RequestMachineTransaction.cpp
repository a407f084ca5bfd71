#include <request/RequestMachine.h>

#include <ExchangeReason.h>

namespace auburnrail {

namespace {

auto operationOf(RequestKind kind) -> EndpointOperation
{
    switch (kind) {
    case RequestKind::Commit:
        return EndpointOperation::Commit;
    case RequestKind::Rollback:
        return EndpointOperation::Rollback;
    case RequestKind::Statement:
    case RequestKind::Begin:
        break;
    }
    return EndpointOperation::Execute;
}

} // namespace

auto RequestMachine::pinTransaction(const EndpointResponse &response) -> void
{
    auto transaction = PinnedTransaction{
        .organisation = this->state.authorisation.organisation,
        .keyId = this->state.authorisation.keyId,
        .service = this->request.service,
        .group = this->state.group.group,
        .term = this->state.group.term,
        .connection = *this->state.connection,
        .callerConnection = this->request.callerConnection,
    };
    transaction.id =
        this->tables.transactions->add(transaction, this->hooks.random(), this->hooks.now());
    if (transaction.id.empty()) {
        this->fail(ReasonCode::ShuttingDown, "this entry is shutting down");
        return;
    }
    // The table owns the connection from here.
    this->state.connection.reset();
    this->state.transaction = std::move(transaction);
    this->succeed(response);
}

auto RequestMachine::startTransactionStep() -> void
{
    auto taken = this->tables.transactions->acquire(this->request.transaction,
                                                    this->state.authorisation.organisation,
                                                    this->request.service, this->hooks.now());
    if (const auto *reason = std::get_if<ReasonCode>(&taken)) {
        this->fail(*reason, "the transaction cannot be used");
        return;
    }
    this->state.transaction = std::get<PinnedTransaction>(std::move(taken));
    const auto &transaction = *this->state.transaction;
    this->state.connection = transaction.connection;
    this->state.endpoint = transaction.connection.endpoint;
    this->state.group = GroupView{
        .group = transaction.group, .term = transaction.term, .primary = this->state.endpoint};
    const auto view = this->hooks.groupOf(this->request.service);
    const auto sameTerm =
        view && view->group == transaction.group && view->term == transaction.term;
    if (this->request.kind != RequestKind::Rollback && !sameTerm) {
        this->endTransaction(false);
        this->fail(ReasonCode::TransactionAborted, "the primary of the transaction was replaced");
        return;
    }
    if (this->hooks.now() >= this->request.deadline) {
        this->keepTransaction();
        this->fail(ReasonCode::DeadlineTooClose, "the deadline has passed");
        return;
    }
    this->exchange(operationOf(this->request.kind),
                   [self = this->shared_from_this()](const EndpointExchange &result) {
                       self->transactionExchanged(result);
                   });
}

auto RequestMachine::transactionExchanged(const EndpointExchange &result) -> void
{
    const auto responded = result.phase == EndpointExchangePhase::Answered
                           && result.response.exchangeId == this->state.exchangeId;
    if (!responded) {
        // The endpoint rolls the transaction back when its connection closes.
        this->endTransaction(false);
        this->state.mayHaveRun = !detail::endedUnsent(result.phase);
        const auto reason = detail::reasonOf(result.phase);
        this->fail(this->state.mayHaveRun ? reason : ReasonCode::TransactionAborted,
                   "the transaction ended: " + std::string(nameOf(reason)));
        return;
    }
    if (result.response.refusal != EndpointRefusal::None) {
        this->transactionRefused(result.response);
        return;
    }
    switch (this->request.kind) {
    case RequestKind::Commit:
        this->endTransaction(true);
        this->confirm(result.response);
        return;
    case RequestKind::Rollback:
        this->endTransaction(true);
        break;
    case RequestKind::Statement:
    case RequestKind::Begin:
        this->keepTransaction();
        break;
    }
    this->succeed(result.response);
}

auto RequestMachine::transactionRefused(const EndpointResponse &response) -> void
{
    const auto message = "the endpoint refused: " + std::string(nameOf(response.refusal));
    // These two leave the transaction open; after any other refusal its state is not known.
    if (response.refusal == EndpointRefusal::BadStatement
        || response.refusal == EndpointRefusal::Busy) {
        this->keepTransaction();
        this->fail(detail::reasonOf(response.refusal), message);
        return;
    }
    this->endTransaction(false);
    this->fail(ReasonCode::TransactionAborted, message);
}

auto RequestMachine::keepTransaction() -> void
{
    this->state.connection.reset();
    this->tables.transactions->release(this->state.transaction->id, this->hooks.now());
}

auto RequestMachine::endTransaction(bool reusable) -> void
{
    this->tables.transactions->remove(this->state.transaction->id);
    this->releaseConnection(reusable);
}

} // namespace auburnrail
