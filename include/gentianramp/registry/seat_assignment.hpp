#pragma once

#include <cstdint>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/ids.hpp>
#include <map>
#include <string>
#include <vector>

namespace gentianramp {

/// A voter's place in the ledger, which instances fill in turn.
struct LedgerSeat
{
    std::string seat;
    std::uint64_t admittedFolderId = 0; ///< Data folder whose votes count; 0: none.
    bool operator==(const LedgerSeat &) const = default;
};

/// A registry process as the leader hears it.
struct PeerStatus
{
    InstanceId instance;
    DataCentreId dataCentre;
    std::string seat; ///< Empty: it holds none.
    std::uint64_t folderId = 0;
    Duration contactAge{}; ///< Since its last sign of life.
    bool operator==(const PeerStatus &) const = default;
};

/// Options of assignSeats().
struct SeatOptions
{
    /// A seat whose holder is silent for longer goes to an instance without one. Below the time in
    /// which a replaced instance has to count again (4 s on the smallest deployments).
    Duration replaceTimeout = std::chrono::seconds(2);
    /// An instance that is silent for longer is offered nothing.
    Duration maxCandidateContactAge = std::chrono::seconds(1);
};

/// An instance and a seat.
struct SeatChange
{
    InstanceId instance;
    std::string seat;
    auto operator<=>(const SeatChange &) const = default;
};

/// What the leader tells other instances about seats.
struct SeatChanges
{
    std::vector<SeatChange> offers;
    std::vector<SeatChange> releases; ///< The seat is filled by the folder of another instance.
    bool operator==(const SeatChanges &) const = default;
};

/// Which instance fills which seat, decided by the leader. @p lastHolders names the instance that
/// held each seat last; it gets its seat back at once when it returns without its data folder.
SeatChanges assignSeats(const std::vector<LedgerSeat> &seats, const std::vector<PeerStatus> &peers,
                        const std::map<std::string, InstanceId> &lastHolders,
                        const SeatOptions &options = {});

/// The claim of @p seat whose messages count: that of the admitted folder unless it is silent, else
/// the one heard last.
const PeerStatus *holderOf(const LedgerSeat &seat, const std::vector<PeerStatus> &peers,
                           const SeatOptions &options = {});

} // namespace gentianramp
