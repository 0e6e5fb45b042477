#include <gentianramp/idempotency/key_replica.hpp>

#include <algorithm>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/idempotency/key_time.hpp>
#include <utility>

namespace gentianramp {

namespace {

constexpr std::size_t PageEntries = 128;
constexpr std::size_t PageBytes = 256 * 1024;
constexpr std::size_t SweepEntries = 512;
constexpr Duration LearnRetry = std::chrono::milliseconds(300);
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
                       .known = knownLives(accept.scope)};
    if (!isReady(accept.scope, now))
        return answer;
    Entry *kept = entry(accept.scope, now);
    if (kept == nullptr) {
        answer.reply = KeyReply::Overloaded;
        return answer;
    }
    if (accept.ballot < kept->promised || restsOnOldLife(accept.quorum)) {
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
    // The new life must be known before the page is made: proposals that rest on the old life are
    // refused from here on, so that the page misses none of them.
    noteLife(sender, request.incarnation);
    KeyLearnPage page{.requester = request.incarnation,
                      .incarnation = m_options.incarnation,
                      .after = request.after,
                      .entries = {},
                      .last = true,
                      .missing = missingSources(now)};
    std::size_t bytes = 0;
    auto it = request.after ? m_entries.upper_bound(*request.after) : m_entries.begin();
    for (; it != m_entries.end(); ++it) {
        if (!m_groups.groups(it->first).members().contains(sender))
            continue;
        if (page.entries.size() >= PageEntries || bytes >= PageBytes) {
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
    const auto known = m_lives.find(sender);
    if (known != m_lives.end() && page.incarnation < known->second)
        return std::nullopt;
    noteLife(sender, page.incarnation);
    Source &source = m_sources[sender];
    if (page.after != source.after)
        return std::nullopt;
    if (source.after && source.incarnation != page.incarnation) {
        source.after = std::nullopt;
        source.passMissing.clear();
        source.askAt = now + LearnRetry;
        return KeyLearnRequest{.incarnation = m_options.incarnation, .after = std::nullopt};
    }
    source.incarnation = page.incarnation;
    // What the sender lacked at any page of the pass may lack in that page.
    source.passMissing.insert(page.missing.begin(), page.missing.end());
    for (const KeyLearnEntry &learned : page.entries)
        merge(learned, now);
    if (page.last || page.entries.empty()) {
        source.learned = true;
        source.missing = std::exchange(source.passMissing, {});
        source.after = std::nullopt;
        source.askAt = now + RelearnInterval;
        return std::nullopt;
    }
    source.after = page.entries.back().scope;
    source.askAt = now + LearnRetry;
    return KeyLearnRequest{.incarnation = m_options.incarnation, .after = source.after};
}

void KeyReplica::merge(const KeyLearnEntry &learned, TimePoint now)
{
    // Learned keys are kept even beyond the bound: they were let in where they came from.
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
    for (const InstanceId &instance : m_groups.neighbours(m_options.self)) {
        Source &source = m_sources[instance];
        if ((source.learned && source.missing.empty()) || now < source.askAt)
            continue;
        source.askAt = now + LearnRetry;
        requests[instance] = {.incarnation = m_options.incarnation, .after = source.after};
    }
    return requests;
}

void KeyReplica::forgetExpired(TimePoint now)
{
    auto it = m_sweepAfter ? m_entries.upper_bound(*m_sweepAfter) : m_entries.begin();
    for (std::size_t count = 0; count < SweepEntries && it != m_entries.end(); ++count) {
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

bool KeyReplica::isFresh(const KeyScope &scope) const
{
    const auto madeMs = keyTimeMs(scope.key);
    return madeMs && *madeMs > m_options.startWallMs + toMilliseconds(m_options.clockSkew);
}

bool KeyReplica::isReady(const KeyScope &scope, TimePoint now) const
{
    const ReplicaGroups groups = m_groups.groups(scope);
    if (!groups.members().contains(m_options.self))
        return false;
    if (now >= m_readyAt || isFresh(scope))
        return true;
    if (!groups.isRelearnable())
        return false;
    return std::all_of(groups.members().begin(), groups.members().end(),
                       [&](const InstanceId &member) {
                           if (member == m_options.self)
                               return true;
                           const auto source = m_sources.find(member);
                           if (source == m_sources.end() || !source->second.learned)
                               return false;
                           const auto &missing = source->second.missing;
                           return std::none_of(groups.members().begin(), groups.members().end(),
                                               [&missing](const InstanceId &other) {
                                                   return missing.contains(other);
                                               });
                       });
}

bool KeyReplica::isLearning(TimePoint now) const
{
    return !missingSources(now).empty();
}

std::set<InstanceId> KeyReplica::missingSources(TimePoint now) const
{
    std::set<InstanceId> missing;
    if (now >= m_readyAt)
        return missing;
    if (m_groups.hasSingleMember())
        missing.insert(m_options.self);
    for (const InstanceId &instance : m_groups.neighbours(m_options.self)) {
        const auto source = m_sources.find(instance);
        if (source == m_sources.end() || !source->second.learned)
            missing.insert(instance);
        else
            missing.insert(source->second.missing.begin(), source->second.missing.end());
    }
    return missing;
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

bool KeyReplica::restsOnOldLife(const MemberLives &quorum) const
{
    return std::any_of(quorum.begin(), quorum.end(), [this](const auto &life) {
        const auto &[instance, incarnation] = life;
        if (instance == m_options.self)
            return incarnation != m_options.incarnation;
        const auto known = m_lives.find(instance);
        return known != m_lives.end() && incarnation < known->second;
    });
}

MemberLives KeyReplica::knownLives(const KeyScope &scope) const
{
    MemberLives lives;
    const ReplicaGroups groups = m_groups.groups(scope);
    for (const InstanceId &member : groups.members()) {
        if (const auto known = m_lives.find(member); known != m_lives.end())
            lives.insert(*known);
    }
    return lives;
}

void KeyReplica::noteLife(const InstanceId &instance, Incarnation incarnation)
{
    Incarnation &known = m_lives[instance];
    known = std::max(known, incarnation);
}

} // namespace gentianramp
