#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <gentianramp/ledger/replica.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianramp {

/// A voter position of the ledger. Instances replace one another as its holder.
struct LedgerSeat
{
    std::string seat;
    std::uint64_t admittedFolderId = 0; ///< Id of the data folder whose votes count; 0: none.
    /// Id of the data folder that is replacing that one; 0: none.
    std::uint64_t successorFolderId = 0;
    bool operator==(const LedgerSeat &) const = default;
};

/// A registry process as last heard by the leader.
struct PeerStatus
{
    InstanceId instance;
    DataCentreId dataCentre;
    std::string seat;           ///< Empty: none held.
    std::uint64_t folderId = 0; ///< Id of its data folder.
    Duration contactAge{};      ///< Time since the last contact.
    bool takesSeat = true;      ///< If it holds no seat: its data folder can take one.
    bool leads = false;         ///< It leads the ledger, as far as it knows.
    bool operator==(const PeerStatus &) const = default;
};

/// Options of assignSeats().
struct SeatOptions
{
    /// A seat whose holder was not heard for longer is offered to an instance without a seat. Less
    /// than the time in which the replacement has to be able to vote, which is 4 s on the smallest
    /// deployments.
    Duration replaceTimeout = std::chrono::seconds(2);
    /// A seat moves to a data centre that holds more seats than the former holder's only when that
    /// one was not heard for longer, unless seats move back: the loss of a data centre must not
    /// cost the majority. Longer than partitions and restarts last; a successor in the same data
    /// centre need not wait.
    Duration relocationTimeout = std::chrono::seconds(20);
    /// Seats move while their holders are there, see seatToMove(). Not while an earlier build runs.
    bool movesSeats = false;
    /// An instance that was not heard for longer is not offered a seat.
    Duration maxCandidateContactAge = std::chrono::seconds(1);
    /// After two rounds of presence messages, a process knows all others and their seats.
    Duration peerDiscoveryTime = std::chrono::milliseconds(1200);
};

/// A seat to be offered to, or released by, an instance.
struct SeatChange
{
    InstanceId instance;
    std::string seat;
    auto operator<=>(const SeatChange &) const = default;
};

/// Seat messages that the leader has to send.
struct SeatChanges
{
    std::vector<SeatChange> offers;
    std::vector<SeatChange> releases; ///< For holders that another instance has replaced.
    bool operator==(const SeatChanges &) const = default;
};

/// Assigns vacant seats to instances; runs on the leader. @p lastHolders holds the last holder of
/// each seat: an instance that returns without its data folder is offered its former seat at once.
/// Holders of a seat in @p moving have no release: another instance takes it from them.
SeatChanges assignSeats(const std::vector<LedgerSeat> &seats, const std::vector<PeerStatus> &peers,
                        const std::map<std::string, InstanceId> &lastHolders,
                        const SeatOptions &options = {}, const std::set<std::string> &moving = {});

/// The seat to move, and the instance to move it to, so that the data centres are filled more
/// evenly; empty if they are as even as they can be. All seats must be filled. The seat of the
/// instance @p leader stays.
std::optional<SeatChange> seatToMove(const std::vector<LedgerSeat> &seats,
                                     const std::vector<PeerStatus> &peers, const InstanceId &leader,
                                     const SeatOptions &options = {});

/// What a leader knows of the others depends on how long it has heard them.
struct LeaderHistory
{
    TimePoint startedAt{}; ///< Of the process.
    TimePoint leadsSince{};
    std::optional<TimePoint> lastJoinedAt; ///< When the last other process joined.
};

/// When the leader may assign seats: at once if it has heard the same processes for long enough,
/// and SeatOptions::peerDiscoveryTime after its election otherwise.
TimePoint seatUpdatesAllowedAt(const LeaderHistory &leader, const SeatOptions &options = {});

/// The process whose messages for @p seat are accepted: the one with the admitted folder unless it
/// has not been heard for SeatOptions::replaceTimeout, otherwise the most recently heard one.
const PeerStatus *holderOf(const LedgerSeat &seat, const std::vector<PeerStatus> &peers,
                           const SeatOptions &options = {});

/// The process with the admitted folder of @p seat, which may be silent; while no folder is
/// admitted, the leader if it holds the seat, otherwise the most recently heard holder. nullptr:
/// none is known.
const PeerStatus *voterOf(const LedgerSeat &seat, const std::vector<PeerStatus> &peers);

/// The process besides voterOf() that holds @p seat: the one with the successor's folder, otherwise
/// the most recently heard one. nullptr: there is none.
const PeerStatus *secondOf(const LedgerSeat &seat, const std::vector<PeerStatus> &peers);

/// Seats whose folder secondOf() is to replace: those in @p moving, and those without a voter that
/// was heard within SeatOptions::replaceTimeout.
std::set<std::string> seatsToReplace(const std::vector<LedgerSeat> &seats,
                                     const std::vector<PeerStatus> &peers,
                                     const std::set<std::string> &moving,
                                     const SeatOptions &options = {});

/// Number of admitted voters that hold all entries up to @p committed and answered within @p
/// contactTimeout before @p now.
std::size_t currentVoters(const std::vector<VoterView> &voters, LogIndex committed, TimePoint now,
                          Duration contactTimeout);

} // namespace gentianramp
