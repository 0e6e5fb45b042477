#include <gentianramp/registry/seat_assignment.hpp>

#include <algorithm>
#include <set>
#include <tuple>

namespace gentianramp {

namespace {

using SeatsPerSite = std::map<DataCentreId, int>;

int seatsAt(const SeatsPerSite &seatsPerSite, const DataCentreId &dataCentre)
{
    const auto found = seatsPerSite.find(dataCentre);
    return found == seatsPerSite.end() ? 0 : found->second;
}

/// The instance to offer a vacant seat: its last holder if unseated, else an instance of the data
/// centre with the fewest seats.
const PeerStatus *candidateFor(const std::string &seat,
                               const std::vector<const PeerStatus *> &unseated,
                               const std::map<std::string, InstanceId> &lastHolders,
                               const SeatsPerSite &seatsPerSite)
{
    const auto last = lastHolders.find(seat);
    const PeerStatus *best = nullptr;
    int bestSeats = 0;
    for (const PeerStatus *peer : unseated) {
        if (last != lastHolders.end() && last->second == peer->instance)
            return peer;
        const int seats = seatsAt(seatsPerSite, peer->dataCentre);
        if (!best || seats < bestSeats) {
            best = peer;
            bestSeats = seats;
        }
    }
    return best;
}

/// True when the seats would be spread worse over the data centres if @p candidate took the seat
/// of @p holder, who may come back.
bool isPremature(const PeerStatus &candidate, const PeerStatus *holder,
                 const SeatsPerSite &seatsPerSite, const SeatOptions &options)
{
    return !options.movesSeats && holder && holder->contactAge <= options.relocationTimeout
        && seatsAt(seatsPerSite, candidate.dataCentre) > seatsAt(seatsPerSite, holder->dataCentre);
}

} // namespace

const PeerStatus *holderOf(const LedgerSeat &seat, const std::vector<PeerStatus> &peers,
                           const SeatOptions &options)
{
    const PeerStatus *holder = nullptr;
    for (const PeerStatus &peer : peers) {
        if (peer.seat != seat.seat)
            continue;
        const bool admitted = seat.admittedFolderId != 0 && peer.folderId == seat.admittedFolderId;
        if (admitted && peer.contactAge <= options.replaceTimeout)
            return &peer;
        if (!holder || peer.contactAge < holder->contactAge)
            holder = &peer;
    }
    return holder;
}

SeatChanges assignSeats(const std::vector<LedgerSeat> &seats, const std::vector<PeerStatus> &peers,
                        const std::map<std::string, InstanceId> &lastHolders,
                        const SeatOptions &options, const std::set<std::string> &moving)
{
    SeatChanges changes;
    std::set<std::string> names;
    for (const LedgerSeat &seat : seats)
        names.insert(seat.seat);
    std::vector<const PeerStatus *> unseated;
    SeatsPerSite seatsPerSite;
    std::set<std::string> heldSeats;
    for (const PeerStatus &peer : peers) {
        const bool seated = names.contains(peer.seat);
        if (seated && peer.contactAge <= options.replaceTimeout) {
            heldSeats.insert(peer.seat);
            ++seatsPerSite[peer.dataCentre];
        }
        if (!seated && peer.takesSeat && peer.contactAge <= options.maxCandidateContactAge)
            unseated.push_back(&peer);
    }
    for (const LedgerSeat &seat : seats) {
        const PeerStatus *holder = holderOf(seat, peers, options);
        const bool filled = holder && seat.admittedFolderId != 0
            && holder->folderId == seat.admittedFolderId
            && holder->contactAge <= options.replaceTimeout;
        for (const PeerStatus &peer : peers) {
            if (filled && peer.seat == seat.seat && peer.instance != holder->instance
                && !moving.contains(seat.seat))
                changes.releases.push_back({peer.instance, seat.seat});
        }
        if (heldSeats.contains(seat.seat))
            continue;
        const PeerStatus *candidate = candidateFor(seat.seat, unseated, lastHolders, seatsPerSite);
        if (!candidate || isPremature(*candidate, holder, seatsPerSite, options))
            continue;
        changes.offers.push_back({candidate->instance, seat.seat});
        ++seatsPerSite[candidate->dataCentre];
        std::erase(unseated, candidate);
    }
    return changes;
}

std::optional<SeatChange> seatToMove(const std::vector<LedgerSeat> &seats,
                                     const std::vector<PeerStatus> &peers, const InstanceId &leader,
                                     const SeatOptions &options)
{
    SeatsPerSite seatsPerSite;
    for (const LedgerSeat &seat : seats) {
        if (const PeerStatus *holder = voterOf(seat, peers))
            ++seatsPerSite[holder->dataCentre];
    }
    const PeerStatus *candidate = nullptr;
    for (const PeerStatus &peer : peers) {
        const bool isCandidate = peer.seat.empty() && peer.takesSeat
            && peer.contactAge <= options.maxCandidateContactAge;
        if (isCandidate
            && (!candidate
                || seatsAt(seatsPerSite, peer.dataCentre)
                    < seatsAt(seatsPerSite, candidate->dataCentre)))
            candidate = &peer;
    }
    if (!candidate)
        return std::nullopt;
    const LedgerSeat *moved = nullptr;
    int mostSeats = seatsAt(seatsPerSite, candidate->dataCentre) + 1;
    for (const LedgerSeat &seat : seats) {
        const PeerStatus *holder = voterOf(seat, peers);
        if (!holder || holder->instance == leader)
            continue;
        const int held = seatsAt(seatsPerSite, holder->dataCentre);
        if (held > mostSeats) {
            moved = &seat;
            mostSeats = held;
        }
    }
    if (!moved)
        return std::nullopt;
    return SeatChange{candidate->instance, moved->seat};
}

const PeerStatus *voterOf(const LedgerSeat &seat, const std::vector<PeerStatus> &peers)
{
    const PeerStatus *voter = nullptr;
    for (const PeerStatus &peer : peers) {
        if (peer.seat != seat.seat)
            continue;
        if (seat.admittedFolderId != 0) {
            if (peer.folderId == seat.admittedFolderId)
                return &peer;
        } else if (!voter
                   || std::tuple(peer.leads, -peer.contactAge)
                       > std::tuple(voter->leads, -voter->contactAge)) {
            voter = &peer;
        }
    }
    return voter;
}

const PeerStatus *secondOf(const LedgerSeat &seat, const std::vector<PeerStatus> &peers)
{
    const PeerStatus *voter = voterOf(seat, peers);
    const PeerStatus *second = nullptr;
    for (const PeerStatus &peer : peers) {
        if (peer.seat != seat.seat || (voter && peer.instance == voter->instance))
            continue;
        if (seat.successorFolderId != 0 && peer.folderId == seat.successorFolderId)
            return &peer;
        if (!second || peer.contactAge < second->contactAge)
            second = &peer;
    }
    return second;
}

std::set<std::string> seatsToReplace(const std::vector<LedgerSeat> &seats,
                                     const std::vector<PeerStatus> &peers,
                                     const std::set<std::string> &moving,
                                     const SeatOptions &options)
{
    std::set<std::string> replaced;
    for (const LedgerSeat &seat : seats) {
        const PeerStatus *voter = voterOf(seat, peers);
        const PeerStatus *second = secondOf(seat, peers);
        const bool isVacant = !voter || voter->contactAge > options.replaceTimeout;
        if (second && second->contactAge <= options.replaceTimeout
            && (isVacant || moving.contains(seat.seat)))
            replaced.insert(seat.seat);
    }
    return replaced;
}

TimePoint seatUpdatesAllowedAt(const LeaderHistory &leader, const SeatOptions &options)
{
    const TimePoint elected = leader.leadsSince + options.peerDiscoveryTime;
    // A holder that was never heard counts as lost as late as one that fell silent at the start.
    TimePoint known = std::max(leader.leadsSince, leader.startedAt + options.replaceTimeout);
    if (leader.lastJoinedAt)
        known = std::max(known, *leader.lastJoinedAt + options.peerDiscoveryTime);
    return std::min(elected, known);
}

std::size_t currentVoters(const std::vector<VoterView> &voters, LogIndex committed, TimePoint now,
                          Duration contactTimeout)
{
    return std::count_if(voters.begin(), voters.end(), [&](const VoterView &voter) {
        return voter.admitted && voter.match >= committed && voter.lastContact
            && now - *voter.lastContact <= contactTimeout;
    });
}

} // namespace gentianramp
