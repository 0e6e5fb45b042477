#include "origin_lookup.hpp"

#include <algorithm>
#include <gentianramp/core/log.hpp>

#include "gentianramp/registry/generated/stream_origin.pb.h"

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Several round trips between data centres of a region. An instance that is gone never answers.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(250);
/// Messages are not queued while a connection is being established.
constexpr Duration ResendInterval = std::chrono::milliseconds(50);
constexpr Duration AnswerCheckInterval = std::chrono::milliseconds(5);
/// A connection between instances is established within this time.
constexpr Duration RecordResendDelay = std::chrono::milliseconds(120);
constexpr std::size_t MaxRecordsToResend = 4096;
/// Far above the streams of one service that an instance begins within their lifetime.
constexpr std::size_t MaxEarlierStreams = 2048;
/// At twenty calls per second, 300 streams are sent within the 3 s in which a new version begins
/// none, and each of 8 registry instances receives 3,750 messages a second from 75 instances.
constexpr std::size_t EarlierStreamsPerCall = 5;

proto::StreamRecord toProto(const std::string &attempt, const StreamOrigin &origin)
{
    proto::StreamRecord record;
    record.set_attempt(attempt);
    record.set_service(origin.service);
    record.set_version(origin.version);
    return record;
}

OriginEvidence fromProto(const proto::StreamEvidence &message)
{
    OriginEvidence evidence;
    if (message.has_recorded())
        evidence.recorded
            = StreamOrigin{message.recorded().service(), message.recorded().version()};
    evidence.versions = {message.versions().begin(), message.versions().end()};
    evidence.isComplete = message.complete();
    return evidence;
}

} // namespace

bool OriginLookup::Question::isAnswered() const
{
    bool allAnswered = true;
    for (const auto &[instance, answer] : answers) {
        if (answer && answer->recorded)
            return true;
        allAnswered = allAnswered && answer;
    }
    return allAnswered;
}

std::vector<OriginEvidence> OriginLookup::Question::received() const
{
    std::vector<OriginEvidence> received;
    for (const auto &[instance, answer] : answers) {
        if (!answer)
            continue;
        if (!registryInstances.contains(instance))
            received.push_back(*answer);
        else if (std::optional<OriginEvidence> record = recordAlone(*answer))
            received.push_back(std::move(*record));
    }
    return received;
}

OriginLookup::OriginLookup(PeerHooks peers,
                           std::function<OriginEvidence(const std::string &)> evidence,
                           std::function<bool(const std::string &)> hasOtherVersions,
                           MetricsRegistry &metrics)
    : m_peers(std::move(peers))
    , m_evidence(std::move(evidence))
    , m_hasOtherVersions(std::move(hasOtherVersions))
    , m_questionsAsked(metrics.counter("gentianramp_relay_origin_questions_total",
                                       "Streams whose origin other instances were asked for"))
    , m_recordsSent(metrics.counter("gentianramp_relay_origin_records_total",
                                    "Origins of streams sent to other instances"))
{ }

OriginEvidence OriginLookup::ownEvidence(const std::string &service,
                                         const std::string &attempt) const
{
    OriginEvidence evidence = m_evidence(service);
    evidence.recorded = m_records.find(attempt, RuntimeClock::now());
    return evidence;
}

void OriginLookup::noteBegun(const std::string &attempt, const StreamOrigin &origin,
                             RecordKeepers keepers, bool sendLater)
{
    const TimePoint now = RuntimeClock::now();
    m_records.note(attempt, origin, now);
    if (sendLater) {
        std::deque<EarlierStream> &earlier = m_earlier[origin.service];
        earlier.push_back({now, attempt, origin});
        if (earlier.size() > MaxEarlierStreams)
            earlier.pop_front();
    }
    if (keepers != RecordKeepers::None)
        sendToKeepers(attempt, origin, keepers);
}

void OriginLookup::sendToKeepers(const std::string &attempt, const StreamOrigin &origin,
                                 RecordKeepers keepers)
{
    proto::PeerMessage message;
    *message.mutable_record() = toProto(attempt, origin);
    message.mutable_record()->set_lifetime_ms(
        static_cast<std::uint32_t>(toMilliseconds(m_records.lifetime())));
    const std::string payload = message.SerializeAsString();
    for (const InstanceId &keeper : m_peers.keepers(attempt))
        sendRecord(keeper, false, payload);
    if (keepers != RecordKeepers::EntriesAndRegistry)
        return;
    for (const InstanceId &keeper : m_peers.registryKeepers(attempt))
        sendRecord(keeper, true, payload);
}

/// Once a second version is listed, the version alone no longer tells what began these streams. The
/// newest go first, since they last longest.
void OriginLookup::sendEarlier(TimePoint now)
{
    for (auto &[service, earlier] : m_earlier) {
        while (!earlier.empty() && now - earlier.front().begunAt > m_records.lifetime())
            earlier.pop_front();
        if (earlier.empty() || !m_hasOtherVersions(service))
            continue;
        for (std::size_t sent = 0; sent < EarlierStreamsPerCall && !earlier.empty(); ++sent) {
            const EarlierStream stream = std::move(earlier.back());
            earlier.pop_back();
            sendToKeepers(stream.attempt, stream.origin, RecordKeepers::EntriesAndRegistry);
        }
    }
    std::erase_if(m_earlier, [](const auto &entry) { return entry.second.empty(); });
}

void OriginLookup::send(const InstanceId &to, bool isRegistry, std::string payload)
{
    (isRegistry ? m_peers.sendToRegistry : m_peers.send)(to, std::move(payload));
}

void OriginLookup::sendRecord(const InstanceId &keeper, bool isRegistry, const std::string &payload)
{
    send(keeper, isRegistry, payload);
    m_recordsSent.add();
    if (m_sent.size() < MaxRecordsToResend)
        m_sent.push_back({RuntimeClock::now() + RecordResendDelay, keeper, isRegistry, payload});
}

void OriginLookup::resend(TimePoint now)
{
    for (; !m_sent.empty() && m_sent.front().resendAt <= now; m_sent.pop_front())
        send(m_sent.front().keeper, m_sent.front().isRegistry, std::move(m_sent.front().payload));
    sendEarlier(now);
}

asio::awaitable<OriginDecision> OriginLookup::decide(std::string service, std::string attempt,
                                                     bool needsRecord)
{
    OriginEvidence own = ownEvidence(service, attempt);
    if (own.recorded || (!needsRecord && hasOneVersion(own)))
        co_return decideOrigin(service, own, {});
    const std::vector<OriginEvidence> others = co_await ask(service, attempt);
    // The own knowledge may have grown meanwhile.
    own = ownEvidence(service, attempt);
    OriginDecision decision = decideOrigin(service, own, others);
    if (needsRecord && decision.reason == "only_version")
        decision = {std::nullopt, "service_not_known"};
    co_return decision;
}

asio::awaitable<std::vector<OriginEvidence>> OriginLookup::ask(const std::string &service,
                                                               const std::string &attempt)
{
    const auto question = std::make_shared<Question>();
    const std::uint64_t call = ++m_call;
    proto::PeerMessage message;
    message.mutable_question()->set_call(call);
    message.mutable_question()->set_attempt(attempt);
    message.mutable_question()->set_service(service);
    question->payload = message.SerializeAsString();
    for (const InstanceId &witness : m_peers.witnesses(attempt))
        question->answers.try_emplace(witness);
    for (const InstanceId &witness : m_peers.registryWitnesses(attempt)) {
        if (question->answers.try_emplace(witness).second)
            question->registryInstances.insert(witness);
    }
    m_questions[call] = question;
    m_questionsAsked.add();
    const TimePoint endAt = RuntimeClock::now() + AnswerTimeout;
    TimePoint sendAt{};
    while (!question->isAnswered() && RuntimeClock::now() < endAt) {
        if (RuntimeClock::now() >= sendAt) {
            sendAt = RuntimeClock::now() + ResendInterval;
            for (const auto &[instance, answer] : question->answers) {
                if (!answer)
                    send(instance, question->registryInstances.contains(instance),
                         question->payload);
            }
        }
        co_await sleepFor(AnswerCheckInterval);
    }
    m_questions.erase(call);
    co_return question->received();
}

void OriginLookup::onMessage(const InstanceId &sender, std::string_view payload)
{
    proto::PeerMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        logWarning("peer_message_unreadable", {{"sender", sender.value()}});
        return;
    }
    if (message.has_record()) {
        const proto::StreamRecord &record = message.record();
        m_records.note(record.attempt(), {record.service(), record.version()}, RuntimeClock::now());
    } else if (message.has_question()) {
        const proto::StreamQuestion &question = message.question();
        const OriginEvidence own = ownEvidence(question.service(), question.attempt());
        proto::PeerMessage answer;
        proto::StreamEvidence &evidence = *answer.mutable_evidence();
        evidence.set_call(question.call());
        if (own.recorded)
            *evidence.mutable_recorded() = toProto(question.attempt(), *own.recorded);
        evidence.mutable_versions()->Add(own.versions.begin(), own.versions.end());
        evidence.set_complete(own.isComplete);
        m_peers.send(sender, answer.SerializeAsString());
    } else if (message.has_evidence()) {
        const auto question = m_questions.find(message.evidence().call());
        if (question == m_questions.end())
            return;
        const auto answer = question->second->answers.find(sender);
        if (answer != question->second->answers.end())
            answer->second = fromProto(message.evidence());
    }
}

} // namespace gentianramp
