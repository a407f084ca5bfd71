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

auto RequestMachine::pinTransaction(const EndpointAnswer &answer) -> void
{
    auto transaction = PinnedTransaction{
        .organisation = this->facts.authorisation.organisation,
        .keyId = this->facts.authorisation.keyId,
        .service = this->request.service,
        .group = this->facts.group.group,
        .term = this->facts.group.term,
        .connection = *this->facts.connection,
        .callerConnection = this->request.callerConnection,
    };
    transaction.id =
        this->tables.transactions->add(transaction, this->hooks.random(), this->hooks.now());
    if (transaction.id.empty()) {
        this->fail(ReasonCode::ShuttingDown, "this entry is shutting down");
        return;
    }
    // The table owns the connection from here.
    this->facts.connection.reset();
    this->facts.transaction = std::move(transaction);
    this->succeed(answer);
}

auto RequestMachine::startTransactionStep() -> void
{
    auto taken = this->tables.transactions->takeOut(this->request.transaction,
                                                    this->facts.authorisation.organisation,
                                                    this->request.service, this->hooks.now());
    if (const auto *reason = std::get_if<ReasonCode>(&taken)) {
        this->fail(*reason, "the transaction cannot be used");
        return;
    }
    this->facts.transaction = std::get<PinnedTransaction>(std::move(taken));
    const auto &transaction = *this->facts.transaction;
    this->facts.connection = transaction.connection;
    this->facts.endpoint = transaction.connection.endpoint;
    this->facts.group = GroupView{
        .group = transaction.group, .term = transaction.term, .primary = this->facts.endpoint};
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
                   [self = this->shared_from_this()](const EndpointExchange &end) {
                       self->transactionExchanged(end);
                   });
}

auto RequestMachine::transactionExchanged(const EndpointExchange &end) -> void
{
    const auto answered = end.phase == EndpointExchangePhase::Answered
                          && end.answer.exchangeId == this->facts.exchangeId;
    if (!answered) {
        // The endpoint rolls the transaction back when its connection closes.
        this->endTransaction(false);
        this->facts.maybeRan = !detail::endedUnsent(end.phase);
        const auto reason = detail::reasonOf(end.phase);
        this->fail(this->facts.maybeRan ? reason : ReasonCode::TransactionAborted,
                   "the transaction ended: " + std::string(nameOf(reason)));
        return;
    }
    if (end.answer.refusal != EndpointRefusal::None) {
        this->transactionRefused(end.answer);
        return;
    }
    switch (this->request.kind) {
    case RequestKind::Commit:
        this->endTransaction(true);
        this->confirm(end.answer);
        return;
    case RequestKind::Rollback:
        this->endTransaction(true);
        break;
    case RequestKind::Statement:
    case RequestKind::Begin:
        this->keepTransaction();
        break;
    }
    this->succeed(end.answer);
}

auto RequestMachine::transactionRefused(const EndpointAnswer &answer) -> void
{
    const auto message = "the endpoint refused: " + std::string(nameOf(answer.refusal));
    // These two leave the transaction open; after any other refusal its state is not known.
    if (answer.refusal == EndpointRefusal::BadStatement
        || answer.refusal == EndpointRefusal::Busy) {
        this->keepTransaction();
        this->fail(detail::reasonOf(answer.refusal), message);
        return;
    }
    this->endTransaction(false);
    this->fail(ReasonCode::TransactionAborted, message);
}

auto RequestMachine::keepTransaction() -> void
{
    this->facts.connection.reset();
    this->tables.transactions->putBack(this->facts.transaction->id, this->hooks.now());
}

auto RequestMachine::endTransaction(bool reusable) -> void
{
    this->tables.transactions->remove(this->facts.transaction->id);
    this->releaseConnection(reusable);
}

} // namespace auburnrail
