#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/core/metrics.hpp>
#include <gentianramp/relay/relay_service.hpp>
#include <gentianramp/relay/stream_origin.hpp>
#include <map>
#include <memory>
#include <set>

namespace gentianramp {

/// Which other instances keep the record of a stream.
enum class RecordKeepers : std::uint8_t {
    None,
    Entries,            ///< A few entry instances.
    EntriesAndRegistry, ///< Also two registry instances, which outlast a loss of all entry
                        ///< instances.
};

/// Finds out what began a stream that a caller takes up again: from this instance's records, from
/// the versions that it knows, or by asking other instances. Used on one thread.
class OriginLookup
{
public:
    /// @p evidence tells what this instance knows of the versions of a service, and
    /// @p hasOtherVersions whether more than one of them is recent.
    OriginLookup(PeerHooks peers, std::function<OriginEvidence(const std::string &)> evidence,
                 std::function<bool(const std::string &)> hasOtherVersions,
                 MetricsRegistry &metrics);

    void setStreamLifetime(Duration lifetime) { m_records.setLifetime(lifetime); }
    /// Keeps what began a stream, also at other instances as @p keepers says. With @p sendLater,
    /// all keepers get the record if the service has a second version while the stream may go on.
    void noteBegun(const std::string &attempt, const StreamOrigin &origin, RecordKeepers keepers,
                   bool sendLater);
    /// Sends records once more that were sent a moment ago: messages are lost while a connection is
    /// being established. Sends records of streams that began before their service had a second
    /// version. Has to be called about twenty times per second.
    void resend(TimePoint now);
    /// Decides where the stream that @p attempt began may go on; asks others only if needed. With
    /// @p needsRecord, another service may have begun it, so that only a record tells.
    boost::asio::awaitable<OriginDecision> decide(std::string service, std::string attempt,
                                                  bool needsRecord);
    void onMessage(const InstanceId &sender, std::string_view payload);

private:
    /// Answers to a question by the instances that were asked.
    struct Question
    {
        std::string payload;
        std::map<InstanceId, std::optional<OriginEvidence>> answers;
        std::set<InstanceId> registryInstances; ///< Those among the instances asked.

        bool isAnswered() const;
        std::vector<OriginEvidence> received() const;
    };

    OriginEvidence ownEvidence(const std::string &service, const std::string &attempt) const;
    boost::asio::awaitable<std::vector<OriginEvidence>> ask(const std::string &service,
                                                            const std::string &attempt);

    /// A record that is sent once more.
    struct SentRecord
    {
        TimePoint resendAt{};
        InstanceId keeper;
        bool isRegistry = false;
        std::string payload;
    };

    /// A stream that began while its service had one version.
    struct EarlierStream
    {
        TimePoint begunAt{};
        std::string attempt;
        StreamOrigin origin;
    };

    void sendToKeepers(const std::string &attempt, const StreamOrigin &origin,
                       RecordKeepers keepers);
    void sendEarlier(TimePoint now);
    void send(const InstanceId &to, bool isRegistry, std::string payload);
    void sendRecord(const InstanceId &keeper, bool isRegistry, const std::string &payload);

    PeerHooks m_peers;
    std::function<OriginEvidence(const std::string &)> m_evidence;
    std::function<bool(const std::string &)> m_hasOtherVersions;
    StreamRecords m_records;
    std::map<std::string, std::deque<EarlierStream>> m_earlier; ///< By service, oldest first.
    std::map<std::uint64_t, std::shared_ptr<Question>> m_questions;
    std::deque<SentRecord> m_sent; ///< In the order of resendAt.
    std::uint64_t m_call = 0;
    Counter &m_questionsAsked;
    Counter &m_recordsSent;
};

} // namespace gentianramp
