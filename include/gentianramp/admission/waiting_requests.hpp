#pragma once

#include <cstdint>
#include <gentianramp/admission/admission_decision.hpp>
#include <gentianramp/admission/admission_queue.hpp>
#include <gentianramp/admission/queue_allowance.hpp>
#include <gentianramp/admission/served_shares.hpp>
#include <map>
#include <optional>

namespace gentianramp {

/// What an instance knows of the servers of a service when it decides on a request.
struct AdmissionConditions
{
    ReportedRoom room;
    std::uint32_t instances = 1;
    Duration serverWait{}; ///< Expected wait in the queue of the server that would get the request.
    /// False: no server was chosen, since others go before the request. The room is then that of
    /// the last decision with a server.
    bool mayPlace = true;
    double random = 0.5; ///< Uniformly distributed in [0, 1).
    bool operator==(const AdmissionConditions &) const = default;
};

/// Requests of one service that wait at one instance, and the decision on each.
///
/// Order: requests owed a place by the floors of ServedShares; then those that can still be on
/// time, then the others. Within both groups by priority, then those that return before their time
/// after the others, then by the time until which they are on time plus WorkWeight times their
/// work. The order is renewed with each decision on a request.
class WaitingRequests
{
public:
    /// @p savedAllowance differs between instances, see QueueAllowance.
    explicit WaitingRequests(std::size_t limit = DefaultLimit, double savedAllowance = 1);

    /// Decides on a request that arrives. If it has to wait, it is kept under @p number.
    AdmissionDecision arrive(WaitNumber number, const AdmissionRequest &request,
                             const AdmissionConditions &conditions, TimePoint now);
    /// Decides again on a request that waits.
    AdmissionDecision review(WaitNumber number, const AdmissionConditions &conditions,
                             TimePoint now);
    /// The caller left, or the instance shuts down.
    void drop(WaitNumber number);
    /// Whether the request is among the first @p count that wait.
    bool isAmongFirst(WaitNumber number, std::size_t count) const;
    /// What the decision on a request would be, without any effect.
    AdmissionDecision preview(const AdmissionRequest &request,
                              const AdmissionConditions &conditions, TimePoint now) const;
    /// Numbers of the first @p count requests in order.
    std::vector<WaitNumber> first(std::size_t count) const { return m_queue.firstInOrder(count); }
    std::size_t size() const { return m_queue.size(); }

    static constexpr std::size_t DefaultLimit = 2048;

private:
    struct Waiting
    {
        WaitKey key;
        AdmissionRequest request;
        double engineSeconds = 0;

        WaitKey waitKey() const { return key; }
    };

    /// A refused request that may return.
    struct Promise
    {
        TimePoint returnsAt{};
        Duration work{};
    };

    WaitKey keyOf(WaitNumber number, const AdmissionRequest &request, TimePoint now) const;
    bool returnsEarly(const AdmissionRequest &request, TimePoint now) const;
    AdmissionState stateFor(const WaitKey &key, const AdmissionRequest &request,
                            const AdmissionConditions &conditions, TimePoint now) const;
    AdmissionDecision decideOn(WaitNumber number, const AdmissionRequest &request,
                               AdmissionConditions conditions, TimePoint now);
    void notePromise(const AdmissionRequest &request, Duration returnAfter, TimePoint now);
    void erasePromise(std::map<std::uint64_t, Promise>::iterator promise);
    void expirePromises(TimePoint now);

    AdmissionQueue<Waiting> m_queue;
    ServedShares m_shares;
    QueueAllowance m_allowance;
    ReportedRoom m_room;                         ///< Of the last decision with a server.
    std::map<std::uint64_t, Promise> m_promises; ///< By the identity of the request.
    Duration m_promisedWork{};
    TimePoint m_promisesExpiredAt{};
};

} // namespace gentianramp
