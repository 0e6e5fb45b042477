#include <gentianramp/registry/stream_record_keeper.hpp>

#include <algorithm>

#include "gentianramp/registry/generated/stream_origin.pb.h"

namespace gentianramp {

namespace {

/// Bounds the time for which a damaged message can keep records.
constexpr Duration MaxLifetime = std::chrono::minutes(10);

} // namespace

std::optional<std::string> StreamRecordKeeper::onMessage(std::string_view payload, TimePoint now)
{
    proto::PeerMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return std::nullopt;
    if (message.has_record()) {
        const proto::StreamRecord &record = message.record();
        // All entry processes derive the lifetime from the same declaration.
        if (record.lifetime_ms() != 0)
            m_records.setLifetime(
                std::min<Duration>(std::chrono::milliseconds(record.lifetime_ms()), MaxLifetime));
        m_records.note(record.attempt(), {record.service(), record.version()}, now);
        return std::nullopt;
    }
    if (!message.has_question())
        return std::nullopt;
    proto::PeerMessage answer;
    proto::StreamEvidence &evidence = *answer.mutable_evidence();
    evidence.set_call(message.question().call());
    if (const auto origin = m_records.find(message.question().attempt(), now)) {
        evidence.mutable_recorded()->set_attempt(message.question().attempt());
        evidence.mutable_recorded()->set_service(origin->service);
        evidence.mutable_recorded()->set_version(origin->version);
    }
    return answer.SerializeAsString();
}

} // namespace gentianramp
