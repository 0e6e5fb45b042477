#pragma once

#include "gentianramp/ledger/memory_data_folder.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <gentianramp/registry/declaration_ledger.hpp>
#include <gentianramp/registry/voter_folder.hpp>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace gentianramp::testing {

inline const std::vector<InstanceId> Seats{InstanceId("seat-1"), InstanceId("seat-2"),
                                           InstanceId("seat-3")};

/// Simulation of three voters with in-memory disks. Messages to and from partitioned seats are
/// lost.
class VoterSimulation
{
public:
    VoterSimulation()
    {
        for (const InstanceId &seat : Seats) {
            cr_assert_not(prepareSeat(m_disks[seat].disk(), seat.value(), true, ++m_seed));
            start(seat);
        }
    }

    void start(const InstanceId &seat)
    {
        ReplicaOptions options;
        options.self = seat;
        options.voters = Seats;
        options.seed = ++m_seed;
        options.electionTimeout = electionTimeout;
        options.heartbeatInterval = electionTimeout / 4;
        DeclarationHooks hooks;
        hooks.send = [this, seat](const InstanceId &to, std::string payload) {
            m_messages.push_back({seat, to, std::move(payload)});
        };
        hooks.inForce = [this, seat](const RawDeclaration &committed) {
            cr_assert_geq(committed.number, m_inForce[seat],
                          "a voter put an older declaration in force");
            m_inForce[seat] = committed.number;
        };
        hooks.leadership = [](bool, Term) {};
        hooks.persist = [this, seat](std::function<std::error_code()> write,
                                     std::function<void(std::error_code)> done) {
            if (syncTime == Duration{} && !m_stalled.contains(seat))
                return done(write());
            m_writes[seat] = {m_now + syncTime, std::move(write), std::move(done)};
        };
        hooks.storageFailed = [this, seat](const std::string &) { m_failed = seat; };
        ledgers[seat] = std::make_unique<DeclarationLedger>(options, m_disks[seat].disk(), hooks);
        cr_assert(ledgers[seat]->start(m_now));
    }

    /// Kills the voter; a write that is in progress may have reached the disk or not.
    void stop(const InstanceId &seat, bool writeIsDone = false)
    {
        ledgers.erase(seat);
        if (auto write = m_writes.extract(seat); write && writeIsDone)
            write.mapped().write();
    }
    /// Syncs of the voter do not end until resumeDisk() is called.
    void stallDisk(const InstanceId &seat) { m_stalled.insert(seat); }
    void resumeDisk(const InstanceId &seat) { m_stalled.erase(seat); }
    Duration syncTime{}; ///< Of all disks.
    Duration electionTimeout = std::chrono::milliseconds(900);
    TimePoint now() const { return m_now; }
    MemoryDataFolder &disk(const InstanceId &seat) { return m_disks[seat]; }
    bool failed(const InstanceId &seat) const { return m_failed == seat; }

    void run(int ms)
    {
        for (int passed = 0; passed < ms; passed += 50)
            advanceTo(m_now + std::chrono::milliseconds(50));
    }

    void advanceTo(TimePoint now)
    {
        m_now = now;
        endWrites();
        for (const InstanceId &seat : Seats) {
            if (ledgers.contains(seat))
                ledgers[seat]->tick(m_now);
        }
        deliver();
    }

    DeclarationLedger *leader()
    {
        for (auto &[seat, ledger] : ledgers) {
            if (ledger->leads() && !m_partitioned.contains(seat))
                return ledger.get();
        }
        return nullptr;
    }

    InstanceId leaderSeat()
    {
        for (auto &[seat, ledger] : ledgers) {
            if (ledger->leads() && !m_partitioned.contains(seat))
                return seat;
        }
        return {};
    }

    /// Loses all messages from one seat to the other until mendLink() is called.
    void cutLink(const InstanceId &from, const InstanceId &to) { m_cutLinks.insert({from, to}); }
    void mendLink(const InstanceId &from, const InstanceId &to) { m_cutLinks.erase({from, to}); }
    /// Time since a majority confirmed what the seat has committed; empty: never.
    std::optional<Duration> confirmationAge(const InstanceId &seat)
    {
        const std::optional<TimePoint> confirmed = ledgers[seat]->confirmedAt();
        return confirmed ? std::optional<Duration>(m_now - *confirmed) : std::nullopt;
    }

    /// Messages arrive at the next advance of the time; else at once.
    bool delaysMessages = false;
    /// Called with each message before it is delivered or lost.
    std::function<void(const std::string &payload)> onMessage = [](const std::string &) {};

    void partition(const InstanceId &seat) { m_partitioned[seat] = true; }
    void heal(const InstanceId &seat) { m_partitioned.erase(seat); }

    std::optional<bool> declare(DeclarationLedger *ledger, std::uint64_t number,
                                const std::string &content, int waitMs = 2000)
    {
        const auto answer = std::make_shared<std::optional<bool>>();
        ledger->declare(
            {number, content}, [answer](bool accepted) { *answer = accepted; }, m_now);
        run(waitMs);
        return *answer;
    }

    std::optional<RawDeclaration> read(DeclarationLedger *ledger)
    {
        const auto answer = std::make_shared<std::optional<RawDeclaration>>();
        ledger->readNewest(
            [answer](const std::optional<RawDeclaration> &newest) { *answer = newest; }, m_now);
        run(1000);
        return *answer;
    }

    std::map<InstanceId, std::unique_ptr<DeclarationLedger>> ledgers;

private:
    struct Message
    {
        InstanceId from;
        InstanceId to;
        std::string payload;
    };

    struct Write
    {
        TimePoint endsAt;
        std::function<std::error_code()> write;
        std::function<void(std::error_code)> done;
    };

    void endWrites()
    {
        for (const InstanceId &seat : Seats) {
            const auto found = m_writes.find(seat);
            if (found == m_writes.end() || m_stalled.contains(seat) || m_now < found->second.endsAt)
                continue;
            const Write ended = std::move(m_writes.extract(found).mapped());
            ended.done(ended.write());
        }
    }

    void deliver()
    {
        std::deque<Message> arriving = std::exchange(m_messages, {});
        while (!arriving.empty()) {
            const Message message = std::move(arriving.front());
            arriving.pop_front();
            onMessage(message.payload);
            const bool lost = m_partitioned.contains(message.from)
                || m_partitioned.contains(message.to)
                || m_cutLinks.contains({message.from, message.to});
            if (!lost && ledgers.contains(message.to))
                ledgers[message.to]->onMessage(message.from, message.payload, m_now);
            if (delaysMessages)
                continue;
            std::move(m_messages.begin(), m_messages.end(), std::back_inserter(arriving));
            m_messages.clear();
        }
    }

    TimePoint m_now{std::chrono::seconds(100)};
    std::uint64_t m_seed = 0;
    std::map<InstanceId, MemoryDataFolder> m_disks;
    std::map<InstanceId, std::uint64_t> m_inForce;
    std::map<InstanceId, Write> m_writes; ///< In progress, one at most for each voter.
    std::set<InstanceId> m_stalled;
    std::map<InstanceId, bool> m_partitioned;
    std::set<std::pair<InstanceId, InstanceId>> m_cutLinks;
    std::deque<Message> m_messages;
    InstanceId m_failed;
};

} // namespace gentianramp::testing
