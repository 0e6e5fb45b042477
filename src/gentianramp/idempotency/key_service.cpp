#include <gentianramp/idempotency/key_service.hpp>

#include <algorithm>
#include <deque>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/idempotency/claim_decision.hpp>
#include <gentianramp/idempotency/claim_round.hpp>
#include <gentianramp/idempotency/codec.hpp>
#include <gentianramp/idempotency/key_replica.hpp>
#include <gentianramp/idempotency/key_time.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

namespace gentianramp {

namespace {

constexpr Duration MinBackoff = std::chrono::milliseconds(2);
constexpr Duration MaxBackoff = std::chrono::milliseconds(30);

/// A claim in progress.
struct ClaimWork
{
    ClaimRequest request;
    ClaimCallback callback;
    TimePoint lastQuorumAt;            ///< When a quorum last answered.
    std::uint32_t proposedAttempt = 0; ///< Attempt number in the proposed record; 0: none proposed.
    std::optional<ClaimId> otherClaim; ///< Claim of another request that holds the key.
    bool otherRunning = false;         ///< Its claimant answered that the claim is in progress.
    bool otherNotRunning = false;      ///< Its claimant answered that the claim isn't in progress.
    bool hasSeenOther = false;         ///< Another claim held the key in some round.
};

/// An outcome that is being recorded at the replicas.
struct SettlementWork
{
    ClaimTicket ticket;
    ClaimOutcome outcome;
    TimePoint deadline;
};

/// A claim or settlement that runs rounds of proposals for one key.
struct PendingOperation
{
    ClaimId claim;
    KeyScope scope;
    std::variant<ClaimWork, SettlementWork> work;
    std::optional<ClaimRound> round;
    TimePoint roundStartedAt;
    TimePoint wakeAt; ///< With a round: its timeout. Without: start of the next round.
};

KeyReplicaOptions replicaOptions(const KeyServiceOptions &options)
{
    return {.self = options.self,
            .incarnation = options.incarnation,
            .retention
            = options.lifetime + options.longestWait + options.dispatchWindow + options.clockSkew,
            .maxKeys = options.maxKeys,
            .maxStoredBytes = options.maxStoredBytes,
            .startWallMs = options.startWallMs,
            .clockSkew = options.clockSkew,
            .noPriorClaims = options.noPriorClaims};
}

KeyGroups initialGroups(const KeyServiceOptions &options, TimePoint earlierExpiresAt)
{
    if (options.previousInstances.empty())
        return {options.instances, options.sites};
    KeyGroups groups(options.previousInstances, options.sites);
    groups.setInstances(options.instances, earlierExpiresAt);
    return groups;
}

} // namespace

struct KeyService::State
{
    State(KeyServiceOptions serviceOptions, KeySendHook sendHook, TimePoint now)
        : options(std::move(serviceOptions))
        , send(std::move(sendHook))
        , retention(replicaOptions(options).retention)
        , groups(initialGroups(options, now + retention))
        , replica(replicaOptions(options), groups, now)
        , random(options.seed)
    { }

    void deliver(const InstanceId &to, KeyMessage message);
    void handleLocalMessages(TimePoint now);
    void handle(const InstanceId &sender, const KeyMessage &message, TimePoint now);
    void handle(const InstanceId &sender, const KeyPrepare &prepare, TimePoint now);
    void handle(const InstanceId &sender, const KeyPromise &promise, TimePoint now);
    void handle(const InstanceId &sender, const KeyAccept &accept, TimePoint now);
    void handle(const InstanceId &sender, const KeyAccepted &accepted, TimePoint now);
    void handle(const InstanceId &sender, const KeyLearnRequest &request, TimePoint now);
    void handle(const InstanceId &sender, const KeyLearnPage &page, TimePoint now);
    void handle(const InstanceId &sender, const KeyClaimantQuery &query, TimePoint now);
    void handle(const InstanceId &sender, const KeyClaimantAnswer &answer, TimePoint now);

    void addOperation(PendingOperation operation, TimePoint now);
    PendingOperation *operationOfBallot(const Ballot &ballot, std::uint64_t &id);
    void startRound(std::uint64_t id, TimePoint now);
    void endRound(PendingOperation &operation);
    void retryLater(PendingOperation &operation, TimePoint now);
    void propose(PendingOperation &operation, const ClaimRecord &record);
    void onQuorum(std::uint64_t id, TimePoint now);
    void continueClaim(std::uint64_t id, ClaimWork &work, TimePoint now);
    void waitForOther(std::uint64_t id, ClaimWork &work, const ClaimRecord &record, TimePoint now);
    void continueSettlement(std::uint64_t id, SettlementWork &work, TimePoint now);
    void onChosen(std::uint64_t id, TimePoint now);
    void finishClaim(std::uint64_t id, ClaimResult result, TimePoint now);
    void finishSettlement(std::uint64_t id, bool recorded);
    void addSettlement(ClaimTicket ticket, ClaimOutcome outcome, TimePoint now);
    /// Ends the operation if it is overdue; returns whether it is still in progress.
    bool checkDeadline(std::uint64_t id, TimePoint now);
    ClaimResult unavailableResult(const ClaimWork &work, ClaimStatus status) const;

    KeyServiceOptions options;
    KeySendHook send;
    Duration retention;
    KeyGroups groups;
    KeyReplica replica;
    std::mt19937_64 random;
    std::uint64_t lastRound = 0;
    std::uint64_t lastClaim = 0;
    std::uint64_t lastOperation = 0;
    std::map<std::uint64_t, PendingOperation> operations;
    std::unordered_map<std::uint64_t, std::uint64_t> operationOfRound;
    std::set<ClaimId> openClaims; ///< In progress, or granted with the outcome not yet recorded.
    std::deque<KeyMessage> localMessages; ///< Messages to this instance itself.
    std::uint64_t malformed = 0;
    std::uint64_t lostSettlements = 0;
};

void KeyService::State::deliver(const InstanceId &to, KeyMessage message)
{
    if (to == options.self)
        localMessages.push_back(std::move(message));
    else
        send(to, encodeKeyMessage(message));
}

void KeyService::State::handleLocalMessages(TimePoint now)
{
    while (!localMessages.empty()) {
        const KeyMessage message = std::move(localMessages.front());
        localMessages.pop_front();
        handle(options.self, message, now);
    }
}

void KeyService::State::handle(const InstanceId &sender, const KeyMessage &message, TimePoint now)
{
    std::visit([&](const auto &body) { handle(sender, body, now); }, message);
}

void KeyService::State::handle(const InstanceId &sender, const KeyPrepare &prepare, TimePoint now)
{
    deliver(sender, replica.onPrepare(prepare, now));
}

void KeyService::State::handle(const InstanceId &sender, const KeyAccept &accept, TimePoint now)
{
    deliver(sender, replica.onAccept(accept, now));
}

void KeyService::State::handle(const InstanceId &sender, const KeyLearnRequest &request,
                               TimePoint now)
{
    deliver(sender, replica.onLearnRequest(sender, request, now));
}

void KeyService::State::handle(const InstanceId &sender, const KeyLearnPage &page, TimePoint now)
{
    if (const auto next = replica.onLearnPage(sender, page, now))
        deliver(sender, *next);
}

void KeyService::State::handle(const InstanceId &sender, const KeyPromise &promise, TimePoint now)
{
    std::uint64_t id = 0;
    PendingOperation *operation = operationOfBallot(promise.ballot, id);
    if (operation == nullptr || operation->round->isProposed())
        return;
    ClaimRound &round = *operation->round;
    round.onPromise(sender, promise);
    lastRound = std::max(lastRound, round.overtakenBy().round);
    if (round.overtakenBy().round > 0)
        retryLater(*operation, now);
    else if (round.isPromised() || round.isOverloaded())
        onQuorum(id, now);
}

void KeyService::State::handle(const InstanceId &sender, const KeyAccepted &accepted, TimePoint now)
{
    std::uint64_t id = 0;
    PendingOperation *operation = operationOfBallot(accepted.ballot, id);
    if (operation == nullptr)
        return;
    ClaimRound &round = *operation->round;
    round.onAccepted(sender, accepted);
    lastRound = std::max(lastRound, round.overtakenBy().round);
    if (round.isChosen())
        onChosen(id, now);
    else if (round.overtakenBy().round > 0)
        retryLater(*operation, now);
}

void KeyService::State::handle(const InstanceId &sender, const KeyClaimantQuery &query,
                               TimePoint /*now*/)
{
    deliver(sender,
            KeyClaimantAnswer{.operation = query.operation,
                              .claim = query.claim,
                              .running = openClaims.contains(query.claim)});
}

void KeyService::State::handle(const InstanceId &sender, const KeyClaimantAnswer &answer,
                               TimePoint now)
{
    const auto found = operations.find(answer.operation);
    if (sender != answer.claim.instance || found == operations.end())
        return;
    PendingOperation &operation = found->second;
    auto *work = std::get_if<ClaimWork>(&operation.work);
    if (work == nullptr || work->otherClaim != answer.claim)
        return;
    work->otherRunning = answer.running;
    work->otherNotRunning = !answer.running;
    if (!answer.running && !operation.round)
        operation.wakeAt = now;
}

void KeyService::State::addOperation(PendingOperation operation, TimePoint now)
{
    const std::uint64_t id = ++lastOperation;
    openClaims.insert(operation.claim);
    operations.emplace(id, std::move(operation));
    startRound(id, now);
}

PendingOperation *KeyService::State::operationOfBallot(const Ballot &ballot, std::uint64_t &id)
{
    const auto found = operationOfRound.find(ballot.round);
    if (found == operationOfRound.end())
        return nullptr;
    id = found->second;
    PendingOperation &operation = operations.at(id);
    return operation.round && operation.round->ballot() == ballot ? &operation : nullptr;
}

void KeyService::State::startRound(std::uint64_t id, TimePoint now)
{
    PendingOperation &operation = operations.at(id);
    endRound(operation);
    const Ballot ballot{
        .round = ++lastRound, .instance = options.self, .incarnation = options.incarnation};
    operationOfRound[ballot.round] = id;
    operation.round.emplace(operation.scope, groups.groups(operation.scope), ballot);
    operation.roundStartedAt = now;
    operation.wakeAt = now + options.roundTimeout;
    for (const InstanceId &member : operation.round->members())
        deliver(member, operation.round->prepare());
}

void KeyService::State::endRound(PendingOperation &operation)
{
    if (!operation.round)
        return;
    operationOfRound.erase(operation.round->ballot().round);
    operation.round.reset();
}

void KeyService::State::retryLater(PendingOperation &operation, TimePoint now)
{
    std::uniform_int_distribution<Duration::rep> backoff(MinBackoff.count(), MaxBackoff.count());
    endRound(operation);
    operation.wakeAt = now + Duration(backoff(random));
}

void KeyService::State::propose(PendingOperation &operation, const ClaimRecord &record)
{
    const KeyAccept accept = operation.round->propose(record);
    for (const InstanceId &member : operation.round->members())
        deliver(member, accept);
}

void KeyService::State::onQuorum(std::uint64_t id, TimePoint now)
{
    if (!checkDeadline(id, now))
        return;
    PendingOperation &operation = operations.at(id);
    if (auto *claim = std::get_if<ClaimWork>(&operation.work))
        continueClaim(id, *claim, now);
    else
        continueSettlement(id, std::get<SettlementWork>(operation.work), now);
}

void KeyService::State::continueClaim(std::uint64_t id, ClaimWork &work, TimePoint now)
{
    PendingOperation &operation = operations.at(id);
    work.lastQuorumAt = now;
    if (operation.round->isOverloaded()) {
        finishClaim(id, {.status = ClaimStatus::Overloaded, .verdict = Verdict::NotRun}, now);
        return;
    }
    ClaimDecision decision = decideClaim(operation.round->record(), work.request, operation.claim);
    switch (decision.kind) {
    case DecisionKind::Propose:
        work.otherClaim.reset();
        work.proposedAttempt = decision.record.attempt;
        propose(operation, decision.record);
        return;
    case DecisionKind::Wait:
        waitForOther(id, work, decision.record, now);
        return;
    case DecisionKind::Finish:
        finishClaim(id, std::move(decision.result), now);
        return;
    }
}

void KeyService::State::waitForOther(std::uint64_t id, ClaimWork &work, const ClaimRecord &record,
                                     TimePoint now)
{
    PendingOperation &operation = operations.at(id);
    work.hasSeenOther = true;
    if (work.otherClaim != record.claim) {
        work.otherClaim = record.claim;
        work.otherRunning = false;
        work.otherNotRunning = false;
    }
    if (work.otherNotRunning) {
        finishClaim(id, {.status = ClaimStatus::MayHaveRun}, now);
        return;
    }
    if (!work.request.waitForOther) {
        finishClaim(id, {.status = ClaimStatus::InProgress}, now);
        return;
    }
    endRound(operation);
    operation.wakeAt = now + options.pollInterval;
    deliver(record.claim.instance, KeyClaimantQuery{.operation = id, .claim = record.claim});
}

void KeyService::State::continueSettlement(std::uint64_t id, SettlementWork &work, TimePoint now)
{
    PendingOperation &operation = operations.at(id);
    if (operation.round->isOverloaded()) {
        retryLater(operation, now);
        return;
    }
    const SettlementDecision decision
        = decideSettlement(operation.round->record(), work.ticket, work.outcome);
    if (decision.kind == DecisionKind::Propose) {
        propose(operation, decision.record);
        return;
    }
    const bool expired = now >= work.ticket.dispatchUntil + options.lifetime;
    checkInvariant(!decision.keyHeldByOther || expired, "idempotency.key_stays_with_its_claim",
                   work.ticket.scope.key.value());
    finishSettlement(id, !decision.keyHeldByOther);
}

void KeyService::State::onChosen(std::uint64_t id, TimePoint now)
{
    if (!checkDeadline(id, now))
        return;
    PendingOperation &operation = operations.at(id);
    if (std::holds_alternative<SettlementWork>(operation.work)) {
        finishSettlement(id, true);
        return;
    }
    const TimePoint dispatchUntil = operation.roundStartedAt + options.dispatchWindow;
    const ClaimRecord record = *operation.round->proposal();
    ClaimResult result{.status = ClaimStatus::Granted};
    result.ticket = {.scope = operation.scope,
                     .claim = record.claim,
                     .attempt = record.attempt,
                     .fingerprint = record.fingerprint,
                     .dispatchUntil = dispatchUntil};
    if (now >= dispatchUntil)
        result = unavailableResult(std::get<ClaimWork>(operation.work), ClaimStatus::Unavailable);
    finishClaim(id, std::move(result), now);
}

ClaimResult KeyService::State::unavailableResult(const ClaimWork &work, ClaimStatus status) const
{
    // The caller has sent no other attempt and this one was not granted.
    const bool neverSent = work.request.firstAttempt && !work.hasSeenOther;
    return {.status = status, .verdict = neverSent ? Verdict::NotRun : Verdict::MayHaveRun};
}

void KeyService::State::finishClaim(std::uint64_t id, ClaimResult result, TimePoint now)
{
    auto node = operations.extract(id);
    PendingOperation &operation = node.mapped();
    endRound(operation);
    auto &work = std::get<ClaimWork>(operation.work);
    const bool granted = result.status == ClaimStatus::Granted;
    if (!granted && work.proposedAttempt > 0) {
        ClaimTicket abandoned{.scope = operation.scope,
                              .claim = operation.claim,
                              .attempt = work.proposedAttempt,
                              .fingerprint = work.request.fingerprint,
                              .dispatchUntil = now};
        addSettlement(std::move(abandoned), {.state = ClaimState::Released}, now);
    } else if (!granted) {
        openClaims.erase(operation.claim);
    }
    work.callback(std::move(result));
}

void KeyService::State::addSettlement(ClaimTicket ticket, ClaimOutcome outcome, TimePoint now)
{
    PendingOperation operation{.claim = ticket.claim, .scope = ticket.scope};
    operation.work = SettlementWork{.ticket = std::move(ticket),
                                    .outcome = std::move(outcome),
                                    .deadline = now + options.settleTimeout};
    addOperation(std::move(operation), now);
}

void KeyService::State::finishSettlement(std::uint64_t id, bool recorded)
{
    auto node = operations.extract(id);
    endRound(node.mapped());
    openClaims.erase(node.mapped().claim);
    if (!recorded)
        ++lostSettlements;
}

bool KeyService::State::checkDeadline(std::uint64_t id, TimePoint now)
{
    PendingOperation &operation = operations.at(id);
    if (const auto *settlement = std::get_if<SettlementWork>(&operation.work)) {
        if (now < settlement->deadline)
            return true;
        finishSettlement(id, false);
        return false;
    }
    const auto &work = std::get<ClaimWork>(operation.work);
    if (now >= work.request.deadline && work.otherClaim) {
        const bool running = work.otherRunning;
        finishClaim(id, {.status = running ? ClaimStatus::InProgress : ClaimStatus::MayHaveRun},
                    now);
        return false;
    }
    if (now < work.request.deadline && now < work.lastQuorumAt + options.unavailableAfter)
        return true;
    finishClaim(id, unavailableResult(work, ClaimStatus::Unavailable), now);
    return false;
}

KeyService::KeyService(KeyServiceOptions options, KeySendHook send, TimePoint now)
    : m_state(std::make_unique<State>(std::move(options), std::move(send), now))
{ }

KeyService::~KeyService() = default;

void KeyService::onMessage(const InstanceId &sender, std::string_view payload, TimePoint now)
{
    const Result<KeyMessage> message = decodeKeyMessage(payload);
    if (!message) {
        ++m_state->malformed;
        return;
    }
    m_state->handle(sender, *message, now);
    m_state->handleLocalMessages(now);
}

void KeyService::tick(TimePoint now)
{
    State &state = *m_state;
    state.groups.dropExpiredLists(now);
    state.replica.forgetExpired(now);
    for (const auto &[instance, request] : state.replica.dueLearnRequests(now))
        state.deliver(instance, request);
    std::vector<std::uint64_t> ids;
    ids.reserve(state.operations.size());
    for (const auto &[id, operation] : state.operations)
        ids.push_back(id);
    for (const std::uint64_t id : ids) {
        if (!state.operations.contains(id) || !state.checkDeadline(id, now))
            continue;
        if (now >= state.operations.at(id).wakeAt)
            state.startRound(id, now);
    }
    state.handleLocalMessages(now);
}

void KeyService::claim(ClaimRequest request, TimePoint now, ClaimCallback callback)
{
    State &state = *m_state;
    // Replicas may have forgotten an attempt under a key that is older than the lifetime.
    const auto createdMs = keyTimeMs(request.scope.key);
    if (createdMs && request.wallMs - *createdMs > toMilliseconds(state.options.lifetime)) {
        callback({.status = ClaimStatus::MayHaveRun});
        return;
    }
    request.deadline = std::min(request.deadline, now + state.options.longestWait);
    PendingOperation operation{.claim = {.instance = state.options.self,
                                         .incarnation = state.options.incarnation,
                                         .number = ++state.lastClaim},
                               .scope = request.scope};
    operation.work = ClaimWork{
        .request = std::move(request), .callback = std::move(callback), .lastQuorumAt = now};
    state.addOperation(std::move(operation), now);
    state.handleLocalMessages(now);
}

void KeyService::settle(const ClaimTicket &ticket, ClaimOutcome outcome, TimePoint now)
{
    if (outcome.state != ClaimState::Complete)
        outcome.answer = {};
    if (outcome.answer.body.size() > m_state->options.maxAnswerBytes) {
        outcome.answer.body.clear();
        outcome.answer.tooLarge = true;
    }
    m_state->addSettlement(ticket, std::move(outcome), now);
    m_state->handleLocalMessages(now);
}

void KeyService::setInstances(std::vector<PlacedInstance> instances, TimePoint now)
{
    m_state->groups.setInstances(std::move(instances), now + m_state->retention);
}

KeyServiceStatistics KeyService::statistics(TimePoint now) const
{
    const State &state = *m_state;
    KeyServiceStatistics result{.keys = state.replica.keyCount(),
                                .storedBytes = state.replica.storedBytes(),
                                .droppedAnswers = state.replica.droppedAnswers(),
                                .malformed = state.malformed,
                                .overloadedKeys = state.replica.overloadedKeys(),
                                .lostSettlements = state.lostSettlements,
                                .learning = state.replica.isLearning(now)};
    for (const auto &[id, operation] : state.operations) {
        if (std::holds_alternative<ClaimWork>(operation.work))
            ++result.openClaims;
        else
            ++result.openSettlements;
    }
    return result;
}

} // namespace gentianramp
