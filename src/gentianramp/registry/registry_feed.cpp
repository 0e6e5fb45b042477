#include <gentianramp/registry/registry_feed.hpp>

#include "registry_codec.hpp"

#include <algorithm>
#include <gentianramp/core/log.hpp>
#include <gentianramp/declaration/declaration.hpp>
#include <gentianramp/registry/packed_text.hpp>
#include <limits>
#include <tuple>

namespace gentianramp {

namespace {

/// Registry processes that the answering one has not heard of for longer are dropped, except seeds.
constexpr Duration SourceTimeout = std::chrono::seconds(10);
/// Several presence messages of a registry process were not heard by any other.
constexpr Duration SilentTimeout = std::chrono::milliseconds(1500);
/// A process that is back may be unknown to the one that answered last for this time.
constexpr Duration SilenceRetention = std::chrono::seconds(3);
constexpr std::size_t MaxDoublings = 3;
/// Answers to older requests are dropped.
constexpr Duration RequestRetention = std::chrono::seconds(3);
constexpr Duration StaleLogInterval = std::chrono::seconds(1);
constexpr std::uint32_t NeverConfirmed = std::numeric_limits<std::uint32_t>::max();

} // namespace

RegistryFeed::RegistryFeed(FeedOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_call(m_options.seed)
    , m_nextRequestAt(now)
    , m_random(m_options.seed)
{
    setSeeds(m_options.seeds);
}

void RegistryFeed::setSeeds(std::vector<InstanceId> seeds)
{
    m_options.seeds = std::move(seeds);
    for (const InstanceId &seed : m_options.seeds)
        m_sources.try_emplace(seed);
}

std::vector<InstanceId> RegistryFeed::registryProcesses(TimePoint now) const
{
    std::vector<InstanceId> running;
    std::vector<InstanceId> all;
    for (const auto &[instance, source] : m_sources) {
        all.push_back(instance);
        if (source.silentUntil <= now)
            running.push_back(instance);
    }
    return running.empty() ? all : running;
}

std::string RegistryFeed::wrapPeerMessage(std::string peerMessage)
{
    proto::RegistryMessage message;
    message.set_peer(std::move(peerMessage));
    return message.SerializeAsString();
}

/// Prefers sources of the own data centre, avoids those that failed recently and, above all, those
/// that are gone; random among equals, but keeps the current one.
InstanceId RegistryFeed::chooseSource(TimePoint now)
{
    m_random = m_random * 6364136223846793005ULL + 1442695040888963407ULL;
    const std::size_t start = m_sources.empty() ? 0 : (m_random >> 33) % m_sources.size();
    const auto rankOf = [&](const Source &source) {
        const TimePoint avoided = source.avoidUntil > now ? source.avoidUntil : TimePoint{};
        return std::tuple(source.silentUntil > now, avoided,
                          source.dataCentre != m_options.dataCentre);
    };
    const InstanceId *best = nullptr;
    std::tuple<bool, TimePoint, bool> bestRank;
    for (std::size_t step = 0; step < m_sources.size(); ++step) {
        auto entry = std::next(m_sources.begin(),
                               static_cast<std::ptrdiff_t>((start + step) % m_sources.size()));
        const auto rank = rankOf(entry->second);
        const bool keeps = m_current == entry->first && rank == bestRank;
        if (!best || rank < bestRank || keeps) {
            best = &entry->first;
            bestRank = rank;
        }
    }
    return best ? *best : InstanceId();
}

void RegistryFeed::avoidSource(const InstanceId &source, TimePoint now)
{
    m_sources[source].avoidUntil = now + m_options.returnInterval;
    m_current.reset();
    m_nextRequestAt = now;
}

bool RegistryFeed::allSourcesAvoided(TimePoint now) const
{
    return std::all_of(m_sources.begin(), m_sources.end(), [&](const auto &entry) {
        return entry.second.avoidUntil > now || entry.second.silentUntil > now;
    });
}

/// Each request to a source that is gone costs a time-out. Only a process that is in contact with a
/// majority can tell: in a partition, the smaller part hears nothing of the larger one. The sender
/// may have been cut off since its last confirmation, so that only silence before it counts.
void RegistryFeed::noteSilentSources(const InstanceId &sender, const proto::FeedAnswer &answer,
                                     TimePoint now)
{
    for (auto &[instance, source] : m_sources)
        source.silentUntil = instance == sender ? TimePoint{} : now + SilenceRetention;
    for (const proto::RegistryMember &member : answer.known()) {
        if (std::chrono::milliseconds(member.heard_ms())
            <= SilentTimeout + std::chrono::milliseconds(answer.confirmed_ms()))
            m_sources[InstanceId(member.instance())].silentUntil = {};
    }
}

/// Current time-out of a request.
Duration RegistryFeed::currentAnswerTimeout() const
{
    if (m_number != 0 && m_digest != 0)
        return m_options.answerTimeout;
    const std::size_t rounds = m_unansweredCount / std::max<std::size_t>(m_sources.size(), 1);
    return m_options.firstAnswerTimeout * (1U << std::min<std::size_t>(rounds / 2, MaxDoublings));
}

/// The withheld first declaration once a majority has confirmed it or the time for that is over.
std::optional<RawDeclaration> RegistryFeed::takeFirstDeclaration(TimePoint now)
{
    if (!m_unconfirmed)
        return std::nullopt;
    const bool confirmed = m_confirmedAt && now - *m_confirmedAt <= m_options.maxConfirmationAge;
    if (!confirmed && now - m_unconfirmedSince < m_options.firstDeclarationTimeout)
        return std::nullopt;
    if (!confirmed)
        logWarning("declaration_unconfirmed", {{"number", m_unconfirmed->number}});
    return std::exchange(m_unconfirmed, std::nullopt);
}

FeedOutput RegistryFeed::tick(TimePoint now)
{
    FeedOutput output;
    output.declaration = takeFirstDeclaration(now);
    if (m_requestedAt && now - *m_requestedAt >= currentAnswerTimeout()) {
        logWarning("registry_silent", {{"source", m_current->value()}});
        Source &source = m_sources[*m_current];
        if (std::exchange(source.answered, false))
            output.reconnect = m_current;
        m_requestedAt.reset();
        ++m_unansweredCount;
        avoidSource(InstanceId(*m_current), now);
    }
    // A request on an established connection is not lost, and resending it would duplicate a long
    // answer.
    if (m_requestedAt && now >= m_resendAt && !m_sources[*m_current].answered) {
        output.requestTo = m_current;
        output.request = m_request;
        m_resendAt = now + m_options.resendInterval;
    }
    if (m_requestedAt || now < m_nextRequestAt || m_sources.empty())
        return output;
    const InstanceId target = chooseSource(now);
    if (m_current != target)
        logSource(target, now);
    m_current = target;
    m_requestedAt = now;
    m_nextRequestAt = now + m_options.interval;
    proto::RegistryMessage message;
    proto::FeedRequest &request = *message.mutable_feed();
    request.set_call(++m_call);
    OpenRequest &open = m_openRequests[m_call];
    open.sentAt = now;
    std::erase_if(m_openRequests,
                  [&](const auto &entry) { return now - entry.second.sentAt > RequestRetention; });
    request.set_number(m_number);
    request.set_list_digest(m_digest);
    request.set_loads_epoch(m_loads.epoch());
    request.set_loads_version(m_loads.version());
    addToProto(m_delays, *request.mutable_delays());
    addCrashes(request, open, now);
    addUsage(request, now);
    for (const SpeedObservation &observation : std::exchange(m_speeds, {}))
        *request.add_speeds() = toProto(observation);
    addToProto(m_limits, m_demand, request, now);
    request.set_data_centre(m_options.dataCentre.value());
    request.set_cut_off(m_cutOff);
    request.set_peers_digest(m_peersDigest);
    request.set_wants_versions(m_wantsVersions);
    output.requestTo = target;
    output.request = m_request = message.SerializeAsString();
    m_resendAt = now + m_options.resendInterval;
    return output;
}

void RegistryFeed::addCrashes(proto::FeedRequest &request, OpenRequest &open, TimePoint now) const
{
    if (!m_options.crashes)
        return;
    const Source &source = m_sources.at(*m_current);
    request.set_crashes_epoch(source.crashesEpoch);
    request.set_crashes_version(source.crashesVersion);
    open.reportedVersion = m_options.crashes->version();
    const CrashReports reports = m_options.crashes->observedSince(source.reportedVersion);
    if (reports != CrashReports())
        *request.mutable_crashes() = toProto(reports, now);
    for (const std::uint64_t part : m_refusedParts)
        request.add_refused_parts(part);
}

void RegistryFeed::addSpeeds(std::vector<SpeedObservation> observations)
{
    // A request that is lost takes its measurements with it; they are averaged over many.
    m_speeds.insert(m_speeds.end(), observations.begin(), observations.end());
}

void RegistryFeed::noteDeclaration(std::uint64_t number)
{
    if (isNewerDeclaration(number, m_number))
        m_number = number;
}

std::int64_t RegistryFeed::trueMs(TimePoint time) const
{
    return m_trueTime.at(time).value_or(wallClockMs());
}

void RegistryFeed::addUsage(proto::FeedRequest &request, TimePoint now) const
{
    if (!m_options.usage)
        return;
    const Source &source = m_sources.at(*m_current);
    *request.mutable_usage() = toProto(m_options.usage->changedSince(
        source.usageSequence, trueMs(std::min(now, m_usageCompleteAt.value_or(now)))));
}

void RegistryFeed::receiveUsage(const InstanceId &sender, const proto::FeedAnswer &answer,
                                TimePoint requestedAt, TimePoint now)
{
    if (answer.true_time_ms() != 0)
        m_trueTime.note(answer.true_time_ms(), requestedAt, now);
    if (!m_options.usage)
        return;
    Source &source = m_sources[sender];
    // A process that has restarted lacks what its predecessor was told. The counts in the request
    // that this one answers may have been what changed since, so that all are sent with the next.
    const bool isSameProcess = answer.usage_epoch() == source.usageEpoch;
    const bool hadAll = source.usageEpoch == 0 && source.usageSequence == 0;
    source.usageEpoch = answer.usage_epoch();
    if (!isSameProcess && !hadAll)
        source.usageSequence = 0;
    else
        source.usageSequence
            = std::max<std::uint64_t>(source.usageSequence, answer.usage_sequence());
    m_options.usage->dropDecided(answer.usage_decided());
}

CrashReports RegistryFeed::receiveCrashes(const InstanceId &sender, const proto::FeedAnswer &answer,
                                          std::uint64_t reportedVersion, TimePoint now)
{
    Source &source = m_sources[sender];
    const bool isNewProcess = answer.crashes_epoch() != source.crashesEpoch;
    // A process that has restarted received only the last part of what its predecessor was told.
    const bool sourceHasRestarted = isNewProcess && source.crashesEpoch != 0;
    source.reportedVersion
        = sourceHasRestarted ? 0 : std::max(source.reportedVersion, reportedVersion);
    source.crashesVersion = isNewProcess
        ? answer.crashes_version()
        : std::max<std::uint64_t>(source.crashesVersion, answer.crashes_version());
    source.crashesEpoch = answer.crashes_epoch();
    return fromProto(answer.crashes(), now);
}

FeedOutput RegistryFeed::onMessage(const InstanceId &sender, std::string_view payload,
                                   TimePoint now)
{
    FeedOutput output;
    proto::RegistryMessage message;
    const bool isReadable
        = message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (isReadable && message.has_peer()) {
        output.peerMessage = std::move(*message.mutable_peer());
        return output;
    }
    if (!isReadable || !message.has_feed_answer()) {
        logWarning("feed_unreadable", {{"sender", sender.value()}});
        return output;
    }
    proto::FeedAnswer &answer = *message.mutable_feed_answer();
    const auto request = m_openRequests.find(answer.call());
    if (request == m_openRequests.end() || now - request->second.sentAt > RequestRetention)
        return output;
    // An answer to an abandoned request is used too: if every process takes longer than the
    // time-out, nothing else arrives.
    const TimePoint requestedAt = request->second.sentAt;
    output.crashes = receiveCrashes(sender, answer, request->second.reportedVersion, now);
    receiveUsage(sender, answer, requestedAt, now);
    m_openRequests.erase(request);
    const bool isCurrent = answer.call() == m_call;
    if (isCurrent)
        m_requestedAt.reset();
    m_sources[sender].answered = true;
    m_entryProcessCount = std::max<std::uint32_t>(answer.entries(), 1);
    for (const proto::RegistryMember &member : answer.known()) {
        Source &source = m_sources[InstanceId(member.instance())];
        source.dataCentre = DataCentreId(member.data_centre());
    }
    std::erase_if(m_sources, [&](const auto &entry) {
        if (entry.first == sender
            || std::find(m_options.seeds.begin(), m_options.seeds.end(), entry.first)
                != m_options.seeds.end())
            return false;
        for (const proto::RegistryMember &member : answer.known()) {
            if (InstanceId(member.instance()) == entry.first)
                return std::chrono::milliseconds(member.heard_ms()) > SourceTimeout;
        }
        return true;
    });
    // A number that no declaration has leaves the one that is held in force, and confirms it.
    if (isNewerDeclaration(answer.number(), m_number) && !answer.packed_content().empty()) {
        Result<std::string> content = unpackText(answer.packed_content());
        if (!content) {
            logError("declaration_damaged",
                     {{"number", answer.number()}, {"reason", content.message()}});
            if (isCurrent)
                avoidSource(sender, now);
            return output;
        }
        RawDeclaration newer{answer.number(), std::move(content).value()};
        const bool isFirst = m_number == 0 || m_unconfirmed;
        if (m_number == 0)
            m_unconfirmedSince = now;
        m_number = answer.number();
        (isFirst ? m_unconfirmed : output.declaration) = std::move(newer);
    }
    const bool confirmed = answer.confirmed_ms() != NeverConfirmed && answer.number() >= m_number;
    if (confirmed) {
        const TimePoint at = requestedAt - std::chrono::milliseconds(answer.confirmed_ms());
        m_confirmedAt = std::max(m_confirmedAt.value_or(at), at);
    }
    if (m_unconfirmed)
        output.declaration = takeFirstDeclaration(now);
    const Duration listAge = std::chrono::milliseconds(answer.list_age_ms());
    const TimePoint listedAt = requestedAt - listAge;
    if (answer.list_digest() != 0 && (!m_listedAt || listedAt >= *m_listedAt)) {
        if (answer.list_digest() != m_digest && answer.has_list()) {
            const std::optional<ListingChange> change
                = fromProto(answer.list(), answer.list_digest());
            const bool fits = change && (change->baseDigest == 0 || change->baseDigest == m_digest);
            if (fits) {
                m_servers = applyChange(std::move(m_servers), *change);
                m_digest = change->newDigest;
                output.listing = BackendListing{m_digest, listedAt, m_servers};
            }
        }
        // A change against another list than the one held here says nothing about the latter.
        if (answer.list_digest() == m_digest)
            m_listedAt = listedAt;
    }
    if (answer.has_loads()) {
        std::optional<LoadReports> loads = m_loads.apply(fromProto(answer.loads(), now));
        if (loads && loads->takenAt > m_loadsAt) {
            m_loadsAt = loads->takenAt;
            output.loads = std::move(loads);
        }
    }
    if (answer.has_peers()) {
        m_peers = fromProto(answer.peers());
        m_peersDigest = answer.peers_digest();
    }
    if (answer.peers_digest() != 0 && answer.peers_digest() == m_peersDigest)
        output.peers = m_peers;
    output.versions = versionReport(answer);
    if (answer.has_limits())
        output.limits = fromProto(answer.limits(), now);
    if (m_number != 0 && m_digest != 0)
        m_unansweredCount = 0;
    const bool stale = !confirmed
        || std::chrono::milliseconds(answer.confirmed_ms()) > m_options.maxConfirmationAge
        || answer.list_digest() == 0 || listAge > m_options.maxListAge;
    if (!stale)
        noteSilentSources(sender, answer, now);
    if (stale && isCurrent) {
        const TimePoint regularRequestAt = m_nextRequestAt;
        logStale(sender, answer, now);
        avoidSource(sender, now);
        if (allSourcesAvoided(now))
            m_nextRequestAt = regularRequestAt;
    }
    return output;
}

void RegistryFeed::logSource(const InstanceId &source, TimePoint now) const
{
    const std::optional<Duration> age = declarationAge(now);
    logInfo("registry_source",
            {{"source", source.value()},
             {"held_number", m_number},
             {"confirmed_ms", age ? toMilliseconds(*age) : -1}});
}

void RegistryFeed::logStale(const InstanceId &source, const proto::FeedAnswer &answer,
                            TimePoint now)
{
    if (m_staleLoggedAt && now - *m_staleLoggedAt < StaleLogInterval)
        return;
    m_staleLoggedAt = now;
    const std::int64_t confirmedMs
        = answer.confirmed_ms() == NeverConfirmed ? -1 : std::int64_t{answer.confirmed_ms()};
    logWarning(
        "registry_stale",
        {{"source", source.value()},
         {"number", answer.number()},
         {"held_number", m_number},
         {"confirmed_ms", confirmedMs},
         {"list_age_ms", answer.list_digest() == 0 ? -1 : std::int64_t{answer.list_age_ms()}}});
}

std::optional<Duration> RegistryFeed::declarationAge(TimePoint now) const
{
    return m_confirmedAt ? std::optional<Duration>(now - *m_confirmedAt) : std::nullopt;
}

std::optional<Duration> RegistryFeed::listingAge(TimePoint now) const
{
    return m_listedAt ? std::optional<Duration>(now - *m_listedAt) : std::nullopt;
}

} // namespace gentianramp
