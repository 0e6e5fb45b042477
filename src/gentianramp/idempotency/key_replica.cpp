#include <gentianramp/idempotency/key_replica.hpp>

#include <algorithm>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/idempotency/key_time.hpp>
#include <utility>

namespace gentianramp {

namespace {

constexpr std::size_t MaxPageEntries = 128;
constexpr std::size_t PageByteLimit = 256 * 1024;
constexpr std::size_t MaxSweepEntries = 512;
constexpr Duration LearnRetryInterval = std::chrono::milliseconds(300);
constexpr Duration RelearnInterval = std::chrono::seconds(2);

std::size_t answerBytes(const std::optional<ClaimRecord> &record)
{
    return record ? record->answer.body.size() : 0;
}

} // namespace

KeyReplica::KeyReplica(KeyReplicaOptions options, const KeyGroups &groups, TimePoint now)
    : m_options(std::move(options))
    , m_groups(groups)
    , m_readyAt(m_options.noPriorClaims ? now : now + m_options.retention)
{ }

KeyPromise KeyReplica::onPrepare(const KeyPrepare &prepare, TimePoint now)
{
    KeyPromise promise{.scope = prepare.scope,
                       .ballot = prepare.ballot,
                       .reply = KeyReply::Learning,
                       .incarnation = m_options.incarnation,
                       .promised = {},
                       .accepted = {},
                       .record = std::nullopt};
    if (!isReady(prepare.scope, now))
        return promise;
    Entry *kept = entry(prepare.scope, now);
    if (kept == nullptr) {
        promise.reply = KeyReply::Overloaded;
        return promise;
    }
    if (prepare.ballot < kept->promised) {
        promise.reply = KeyReply::Overtaken;
        promise.promised = kept->promised;
        return promise;
    }
    kept->promised = prepare.ballot;
    kept->forgetAt = now + m_options.retention;
    promise.reply = KeyReply::Ok;
    promise.accepted = kept->accepted;
    promise.record = kept->record;
    return promise;
}

KeyAccepted KeyReplica::onAccept(const KeyAccept &accept, TimePoint now)
{
    KeyAccepted answer{.scope = accept.scope,
                       .ballot = accept.ballot,
                       .reply = KeyReply::Learning,
                       .incarnation = m_options.incarnation,
                       .promised = {},
                       .known = knownIncarnations(accept.scope)};
    if (!isReady(accept.scope, now))
        return answer;
    Entry *kept = entry(accept.scope, now);
    if (kept == nullptr) {
        answer.reply = KeyReply::Overloaded;
        return answer;
    }
    if (accept.ballot < kept->promised || usesStaleIncarnation(accept.quorum)) {
        answer.reply = KeyReply::Overtaken;
        answer.promised = kept->promised;
        return answer;
    }
    kept->promised = accept.ballot;
    keep(*kept, accept.ballot, accept.record, now);
    answer.reply = KeyReply::Ok;
    return answer;
}

void KeyReplica::keep(Entry &entry, const Ballot &ballot, ClaimRecord record, TimePoint now)
{
    if (entry.accepted == ballot) {
        checkInvariant(!entry.record || entry.record->claim == record.claim,
                       "idempotency.one_record_for_each_ballot", record.claim.instance.value());
        return;
    }
    m_storedBytes -= answerBytes(entry.record);
    if (m_storedBytes + record.answer.body.size() > m_options.maxStoredBytes) {
        record.answer.body.clear();
        record.answer.tooLarge = true;
        ++m_droppedAnswers;
    }
    entry.accepted = ballot;
    entry.record = std::move(record);
    entry.forgetAt = now + m_options.retention;
    m_storedBytes += answerBytes(entry.record);
}

KeyLearnPage KeyReplica::onLearnRequest(const InstanceId &sender, const KeyLearnRequest &request,
                                        TimePoint now)
{
    // Record the sender's new incarnation before reading the entries: from here on onAccept()
    // refuses proposals based on promises of the earlier incarnation, so the page holds all that
    // this replica accepted.
    recordIncarnation(sender, request.incarnation);
    KeyLearnPage page{.requester = request.incarnation,
                      .incarnation = m_options.incarnation,
                      .after = request.after,
                      .entries = {},
                      .last = true,
                      .unlearned = unlearnedInstances(now)};
    std::size_t bytes = 0;
    auto it = request.after ? m_entries.upper_bound(*request.after) : m_entries.begin();
    for (; it != m_entries.end(); ++it) {
        if (!m_groups.groups(it->first).members().contains(sender))
            continue;
        if (page.entries.size() >= MaxPageEntries || bytes >= PageByteLimit) {
            page.last = false;
            break;
        }
        const Entry &entry = it->second;
        page.entries.push_back({it->first, entry.promised, entry.accepted, entry.record});
        bytes += answerBytes(entry.record);
    }
    return page;
}

std::optional<KeyLearnRequest> KeyReplica::onLearnPage(const InstanceId &sender,
                                                       const KeyLearnPage &page, TimePoint now)
{
    if (page.requester != m_options.incarnation)
        return std::nullopt;
    const auto known = m_incarnations.find(sender);
    if (known != m_incarnations.end() && page.incarnation < known->second)
        return std::nullopt;
    recordIncarnation(sender, page.incarnation);
    LearnProgress &progress = m_learnProgress[sender];
    if (page.after != progress.after)
        return std::nullopt;
    if (progress.after && progress.incarnation != page.incarnation) {
        progress.after = std::nullopt;
        progress.passUnlearned.clear();
        progress.nextRequestAt = now + LearnRetryInterval;
        return KeyLearnRequest{.incarnation = m_options.incarnation, .after = std::nullopt};
    }
    progress.incarnation = page.incarnation;
    // A page may lack keys of an instance that the sender had not learned from when it built the
    // page, so a pass collects these instances over all its pages.
    progress.passUnlearned.insert(page.unlearned.begin(), page.unlearned.end());
    for (const KeyLearnEntry &learned : page.entries)
        merge(learned, now);
    if (page.last || page.entries.empty()) {
        progress.learned = true;
        progress.unlearned = std::exchange(progress.passUnlearned, {});
        progress.after = std::nullopt;
        progress.nextRequestAt = now + RelearnInterval;
        return std::nullopt;
    }
    progress.after = page.entries.back().scope;
    progress.nextRequestAt = now + LearnRetryInterval;
    return KeyLearnRequest{.incarnation = m_options.incarnation, .after = progress.after};
}

void KeyReplica::merge(const KeyLearnEntry &learned, TimePoint now)
{
    // Learned keys are kept even above maxKeys: another replica has already admitted them.
    Entry &kept = m_entries[learned.scope];
    kept.promised = std::max(kept.promised, learned.promised);
    kept.forgetAt = std::max(kept.forgetAt, now + m_options.retention);
    if (learned.record && kept.accepted < learned.accepted)
        keep(kept, learned.accepted, *learned.record, now);
}

std::map<InstanceId, KeyLearnRequest> KeyReplica::dueLearnRequests(TimePoint now)
{
    std::map<InstanceId, KeyLearnRequest> requests;
    if (now >= m_readyAt)
        return requests;
    for (const InstanceId &instance : m_groups.possibleGroupPeers(m_options.self)) {
        LearnProgress &progress = m_learnProgress[instance];
        if ((progress.learned && progress.unlearned.empty()) || now < progress.nextRequestAt)
            continue;
        progress.nextRequestAt = now + LearnRetryInterval;
        requests[instance] = {.incarnation = m_options.incarnation, .after = progress.after};
    }
    return requests;
}

void KeyReplica::forgetExpired(TimePoint now)
{
    auto it = m_sweepAfter ? m_entries.upper_bound(*m_sweepAfter) : m_entries.begin();
    for (std::size_t count = 0; count < MaxSweepEntries && it != m_entries.end(); ++count) {
        m_sweepAfter = it->first;
        if (it->second.forgetAt > now) {
            ++it;
            continue;
        }
        m_storedBytes -= answerBytes(it->second.record);
        it = m_entries.erase(it);
    }
    if (it == m_entries.end())
        m_sweepAfter = std::nullopt;
}

bool KeyReplica::isCreatedAfterStart(const KeyScope &scope) const
{
    const auto createdMs = keyTimeMs(scope.key);
    return createdMs && *createdMs > m_options.startWallMs + toMilliseconds(m_options.clockSkew);
}

bool KeyReplica::isReady(const KeyScope &scope, TimePoint now) const
{
    const ReplicaGroups groups = m_groups.groups(scope);
    if (!groups.members().contains(m_options.self))
        return false;
    if (now >= m_readyAt || isCreatedAfterStart(scope))
        return true;
    if (!groups.canRecoverFromPeers())
        return false;
    return std::all_of(groups.members().begin(), groups.members().end(),
                       [&](const InstanceId &member) {
                           if (member == m_options.self)
                               return true;
                           const auto progress = m_learnProgress.find(member);
                           if (progress == m_learnProgress.end() || !progress->second.learned)
                               return false;
                           const auto &unlearned = progress->second.unlearned;
                           return std::none_of(groups.members().begin(), groups.members().end(),
                                               [&unlearned](const InstanceId &other) {
                                                   return unlearned.contains(other);
                                               });
                       });
}

bool KeyReplica::isLearning(TimePoint now) const
{
    return !unlearnedInstances(now).empty();
}

std::set<InstanceId> KeyReplica::unlearnedInstances(TimePoint now) const
{
    std::set<InstanceId> unlearned;
    if (now >= m_readyAt)
        return unlearned;
    // The only member of a group can't relearn its keys from another instance.
    if (m_groups.hasSingleMember())
        unlearned.insert(m_options.self);
    for (const InstanceId &instance : m_groups.possibleGroupPeers(m_options.self)) {
        const auto progress = m_learnProgress.find(instance);
        if (progress == m_learnProgress.end() || !progress->second.learned)
            unlearned.insert(instance);
        else
            unlearned.insert(progress->second.unlearned.begin(), progress->second.unlearned.end());
    }
    return unlearned;
}

KeyReplica::Entry *KeyReplica::entry(const KeyScope &scope, TimePoint now)
{
    const auto found = m_entries.find(scope);
    if (found != m_entries.end())
        return &found->second;
    if (m_entries.size() >= m_options.maxKeys) {
        ++m_overloadedKeys;
        return nullptr;
    }
    Entry &added = m_entries[scope];
    added.forgetAt = now + m_options.retention;
    return &added;
}

bool KeyReplica::usesStaleIncarnation(const MemberIncarnations &quorum) const
{
    return std::any_of(quorum.begin(), quorum.end(), [this](const auto &member) {
        const auto &[instance, incarnation] = member;
        if (instance == m_options.self)
            return incarnation != m_options.incarnation;
        const auto known = m_incarnations.find(instance);
        return known != m_incarnations.end() && incarnation < known->second;
    });
}

MemberIncarnations KeyReplica::knownIncarnations(const KeyScope &scope) const
{
    MemberIncarnations incarnations;
    const ReplicaGroups groups = m_groups.groups(scope);
    for (const InstanceId &member : groups.members()) {
        if (const auto known = m_incarnations.find(member); known != m_incarnations.end())
            incarnations.insert(*known);
    }
    return incarnations;
}

void KeyReplica::recordIncarnation(const InstanceId &instance, Incarnation incarnation)
{
    Incarnation &known = m_incarnations[instance];
    known = std::max(known, incarnation);
}

} // namespace gentianramp
