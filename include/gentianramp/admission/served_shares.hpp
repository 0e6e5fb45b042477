#pragma once

#include <compare>
#include <cstdint>
#include <gentianramp/admission/admission_decision.hpp>
#include <map>
#include <string>
#include <unordered_map>

namespace gentianramp {

/// Counts which requests are served, by kind, size and customer, and tells which ones are owed a
/// place by the fairness floors.
///
/// Floors: the largest tenth of a kind is served at least half as often as the kind, a kind and a
/// customer at least a quarter as often as all. A request is owed a place when any of its subjects
/// is below its floor by counts that fade over FadeTime. A subject with too few requests to compare
/// is owed one for that part of its requests which its floor states, so that rare subjects are
/// served too and do not go before all others. A request that is sent anew within RepeatTime is
/// counted as requested once: repeats must not raise what a customer or kind is owed.
class ServedShares
{
public:
    void noteRequested(const AdmissionRequest &request, TimePoint now);
    void noteServed(const AdmissionRequest &request, TimePoint now);
    bool isOwed(const AdmissionRequest &request, TimePoint now) const;
    /// Belongs to the largest tenth of its kind by work.
    bool isLarge(const AdmissionRequest &request) const;

private:
    enum class SubjectType { Kind, LargeOfKind, Customer };

    struct Subject
    {
        SubjectType type = SubjectType::Kind;
        std::string name;
        auto operator<=>(const Subject &) const = default;
    };

    /// Counts as of @ref at.
    struct Counts
    {
        double requested = 0;
        double served = 0;
        TimePoint at{};

        void fade(TimePoint now);
        /// Share of the requested ones; 1 while nothing is requested.
        double share() const;
    };

    /// Estimate of the work that nine tenths of a kind stay below.
    struct LargeLimit
    {
        double ms = 0;
        std::uint64_t count = 0;

        void add(double value);
    };

    bool isBelow(double floor, const Subject &subject, double reference, std::uint64_t identity,
                 TimePoint now) const;
    Counts countsOf(const Subject &subject, TimePoint now) const;
    void add(const AdmissionRequest &request, double Counts::*member, TimePoint now);
    void prune(TimePoint now);

    Counts m_all;
    std::map<Subject, Counts> m_subjects;
    std::map<std::string, LargeLimit> m_largeLimits; ///< By kind.
    std::unordered_map<std::uint64_t, TimePoint> m_identities;
    TimePoint m_prunedAt{};
};

} // namespace gentianramp
