#include <gentianramp/registry/seat_assignment.hpp>

#include <algorithm>
#include <set>

namespace gentianramp {

namespace {

using SeatsPerSite = std::map<DataCentreId, int>;

/// The instance for an empty seat: its last holder, else one of the data centre with the fewest.
const SeatClaim *candidateFor(const std::string &seat, const std::vector<const SeatClaim *> &free,
                              const std::map<std::string, InstanceId> &lastHolders,
                              const SeatsPerSite &seatsPerSite)
{
    const auto last = lastHolders.find(seat);
    const SeatClaim *best = nullptr;
    int bestSeats = 0;
    for (const SeatClaim *claim : free) {
        if (last != lastHolders.end() && last->second == claim->instance)
            return claim;
        const auto found = seatsPerSite.find(claim->dataCentre);
        const int seats = found == seatsPerSite.end() ? 0 : found->second;
        if (!best || seats < bestSeats) {
            best = claim;
            bestSeats = seats;
        }
    }
    return best;
}

} // namespace

const SeatClaim *holderOf(const SeatView &seat, const std::vector<SeatClaim> &claims,
                          const SeatOptions &options)
{
    const SeatClaim *holder = nullptr;
    for (const SeatClaim &claim : claims) {
        if (claim.seat != seat.seat)
            continue;
        const bool admitted = seat.admittedFolder != 0 && claim.folder == seat.admittedFolder;
        if (admitted && claim.silence <= options.replaceAfter)
            return &claim;
        if (!holder || claim.silence < holder->silence)
            holder = &claim;
    }
    return holder;
}

SeatChanges assignSeats(const std::vector<SeatView> &seats, const std::vector<SeatClaim> &claims,
                        const std::map<std::string, InstanceId> &lastHolders,
                        const SeatOptions &options)
{
    SeatChanges changes;
    std::set<std::string> names;
    for (const SeatView &seat : seats)
        names.insert(seat.seat);
    std::vector<const SeatClaim *> free;
    SeatsPerSite seatsPerSite;
    std::set<std::string> held;
    for (const SeatClaim &claim : claims) {
        const bool seated = names.contains(claim.seat);
        if (seated && claim.silence <= options.replaceAfter) {
            held.insert(claim.seat);
            ++seatsPerSite[claim.dataCentre];
        }
        if (!seated && claim.silence <= options.candidateSilence)
            free.push_back(&claim);
    }
    for (const SeatView &seat : seats) {
        const SeatClaim *holder = holderOf(seat, claims, options);
        const bool filled = holder && seat.admittedFolder != 0
            && holder->folder == seat.admittedFolder && holder->silence <= options.replaceAfter;
        for (const SeatClaim &claim : claims) {
            if (filled && claim.seat == seat.seat && claim.instance != holder->instance)
                changes.releases.push_back({claim.instance, seat.seat});
        }
        if (held.contains(seat.seat))
            continue;
        const SeatClaim *candidate = candidateFor(seat.seat, free, lastHolders, seatsPerSite);
        if (!candidate)
            continue;
        changes.offers.push_back({candidate->instance, seat.seat});
        ++seatsPerSite[candidate->dataCentre];
        std::erase(free, candidate);
    }
    return changes;
}

} // namespace gentianramp
