#include <gentianramp/peers/peer_directory.hpp>
#include <gentianramp/registry/registry_node.hpp>

#include "duty_service.hpp"
#include "registry_codec.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <gentianramp/core/hexadecimal.hpp>
#include <gentianramp/core/invariant.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/random_seed.hpp>
#include <gentianramp/core/time_order.hpp>
#include <gentianramp/registry/absence_watch.hpp>
#include <gentianramp/registry/crash_evidence.hpp>
#include <gentianramp/registry/leader_calls.hpp>
#include <gentianramp/registry/limit_exchange.hpp>
#include <gentianramp/registry/listed_versions.hpp>
#include <gentianramp/registry/listing_history.hpp>
#include <gentianramp/registry/load_poll_scheduler.hpp>
#include <gentianramp/registry/member_directory.hpp>
#include <gentianramp/registry/packed_text.hpp>
#include <gentianramp/registry/seat_storage.hpp>
#include <gentianramp/registry/stage_announcement.hpp>
#include <gentianramp/registry/stream_record_keeper.hpp>
#include <gentianramp/registry/versioned_load_table.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <limits>
#include <set>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// Interval of the ledger's ticks, about a quarter of its heartbeat.
constexpr Duration TickInterval = std::chrono::milliseconds(60);
constexpr Duration PresenceInterval = std::chrono::milliseconds(300);
/// Interval at which entry processes learn of changes among each other, and at which unchanged ones
/// are told to other registry processes again.
constexpr Duration PeersInterval = std::chrono::milliseconds(900);
constexpr Duration PeersRepeatInterval = std::chrono::seconds(2);
/// The loss of a leader is detected after one to two election timeouts. Operators' changes have to
/// be acknowledged within 4 s after the set of running registry processes has become stable.
constexpr Duration ElectionTimeout = std::chrono::milliseconds(900);
constexpr Duration LedgerHeartbeat = std::chrono::milliseconds(225);
/// Less than 1 s, after which operators' clients abandon a call.
constexpr Duration CallTimeout = std::chrono::milliseconds(850);
constexpr Duration MessageTtl = std::chrono::seconds(1);
/// Time between two attempts to open a data folder whose disk is full or does not respond.
constexpr Duration FolderRetryInterval = std::chrono::milliseconds(400);
constexpr Duration SeatUpdateInterval = std::chrono::milliseconds(500);
/// Time for a process to take a seat that moves to it, and between two attempts to move one.
constexpr Duration MoveTimeout = std::chrono::seconds(5);
/// Each process reads the list at this interval times the number of registry processes, so that
/// their combined rate does not depend on that number.
constexpr Duration ListingIntervalPerProcess = std::chrono::milliseconds(250);
constexpr Duration MinListingInterval = std::chrono::milliseconds(600);
/// Time for the chosen successor to win its election: one round trip and one disk sync.
constexpr Duration LeadershipTransferTime = std::chrono::milliseconds(300);
/// Engines report figures that are a tenth of a second old. Four load requests per second cost a
/// third of a percent of the value of a day without faults.
constexpr Duration LoadInterval = std::chrono::milliseconds(250);
/// Time between sending load requests and publishing the answers.
constexpr Duration LoadCollectionTime = std::chrono::milliseconds(30);
/// Older loads are not sent to entry processes.
constexpr Duration LoadRetention = std::chrono::seconds(2);
constexpr unsigned SilentAfterMissedAnswers = 2;
/// The stage of an engine that was not polled for longer may have changed again.
constexpr Duration MaxStageAge = std::chrono::seconds(1);
/// At four rounds per second, 400 requests of 0.7 KB take a third of a megabyte per second and a
/// tenth of the processor of the smallest instance that runs a registry process.
constexpr std::size_t MaxPolledPerRound = 100;
/// Other registry processes are sent load changes, and the full table in every eighth round in case
/// a change was lost.
constexpr unsigned RoundsPerFullLoads = 8;
/// Up to this number of engines, the full table of 1.5 KB is sent in every round.
constexpr std::size_t SmallFleetEngineCount = 64;
/// If the platform's rate limit forces a longer interval on each process, only the leader reads the
/// list and the other processes fetch it from the leader.
constexpr Duration MaxSharedReadingInterval = std::chrono::milliseconds(2500);
/// Rate limit for full lists and declarations, a sixth of the link of a registry instance: after a
/// restart all entry processes request them at once, and queued answers take memory.
constexpr double FullAnswerBytesPerSecond = 20e6;
constexpr double FullAnswerBurstBytes = 2e6;
/// Smaller answers are exempt from the rate limit.
constexpr std::size_t SmallAnswerBytes = 16 * 1024;
constexpr Duration LeaderListInterval = std::chrono::milliseconds(250);
constexpr Duration OrderInterval = std::chrono::milliseconds(500);
/// Time for the next load reports to reach all entry instances: one interval of the reports and one
/// of the feed.
constexpr Duration AnnouncementDelay = std::chrono::milliseconds(600);
constexpr Duration MaxListAge = std::chrono::seconds(2);
constexpr Duration LogFlushInterval = std::chrono::milliseconds(250);
/// A longer interval between two iterations of the main loop is logged.
constexpr Duration StallThreshold = std::chrono::milliseconds(500);
/// A voter that restarts or is replaced is back earlier.
constexpr Duration MissingVoterInterval = std::chrono::seconds(10);
/// An election takes less unless something prevents it.
constexpr Duration MissingLeaderInterval = std::chrono::seconds(3);
constexpr Duration EntryProcessTimeout = std::chrono::seconds(3);
/// An entry process that asks another registry process would be counted twice for longer.
constexpr Duration DelaysTimeout = std::chrono::seconds(1);
/// Time in which reports of several entry processes on one crash are sent on together.
constexpr Duration CrashExchangeInterval = std::chrono::milliseconds(100);
/// Interval at which counts of usage are sent to the leader, and time for which a change is
/// repeated in case a message was lost.
constexpr Duration UsageExchangeInterval = std::chrono::milliseconds(300);
constexpr Duration UsageRepeatTime = std::chrono::milliseconds(1000);
/// Another process that reached the platform this lately can take the duties over.
constexpr Duration PlatformReachedTime = std::chrono::milliseconds(1500);
/// Interval between two full sets of crash reports to one process; longer than a report is on its
/// way.
constexpr Duration AllCrashesInterval = std::chrono::milliseconds(600);
/// Time between two rounds of grants by the leader; the reports of entry processes come as often.
constexpr Duration LimitExchangeInterval = std::chrono::milliseconds(200);
/// A new leader grants nothing before all entry processes had time to report to it.
constexpr Duration LimitGrantDelay = std::chrono::milliseconds(1000);
constexpr Duration GrantLogInterval = std::chrono::seconds(2);
constexpr std::size_t MaxGrantLogLines = 20;
/// Part of a limited engine's rate that requests for its load may take, and bounds of the time
/// between two.
constexpr double LimitedPollShare = 0.25;
constexpr Duration MinLimitedPollInterval = std::chrono::milliseconds(750);
constexpr Duration MaxLimitedPollInterval = std::chrono::seconds(3);
constexpr std::uint32_t NeverConfirmed = std::numeric_limits<std::uint32_t>::max();

std::string seatName(unsigned number)
{
    return "seat-" + std::to_string(number);
}

/// Last load answer of an engine.
struct EngineLoadState
{
    ReportedLoad load;
    StageAnnouncement announcement;
    TimePoint requestedAt{};
    TimePoint answeredAt{};
    bool requestPending = false;
    unsigned missedCount = 0; ///< Consecutive requests without an answer.
};

std::int64_t thousandths(double value)
{
    return std::llround(value * 1000);
}

/// An entry process that requests the feed from this process.
struct EntryProcess
{
    TimePoint heardAt{};
    ServiceDelays delays;
    /// Prompt parts because of which it refused requests lately.
    std::vector<std::uint64_t> refusedParts;
};

/// A seat on its way to another process while its holder is there.
struct SeatMove
{
    SeatChange change;
    TimePoint beganAt{};
};

/// A call to another process and its answer once received.
struct WaitingCall
{
    std::shared_ptr<Timer> timer;
    std::optional<proto::RegistryMessage> answer;
};

} // namespace

struct RegistryNode::State : std::enable_shared_from_this<RegistryNode::State>
{
    State(asio::any_io_executor ioExecutor, RegistryOptions registryOptions)
        : executor(std::move(ioExecutor))
        , options(std::move(registryOptions))
        , directory(options.self)
        , storage(options.dataFolder)
        , stageController(makeStageOptions(options.firstStart))
        , reader(options.listing, options.listCallsPerSecond)
        , loadTable(std::max<std::uint64_t>(options.seed, 1))
        , nextCall(options.seed)
    {
        directory.setSeeds(options.seeds);
        for (unsigned number = 1; number <= options.seats; ++number)
            seats.push_back(seatName(number));
    }

    DutyServiceHooks dutyHooks()
    {
        DutyServiceHooks hooks;
        hooks.ledger = [weak = weak_from_this()] {
            const auto self = weak.lock();
            return self ? self->ledger.get() : nullptr;
        };
        hooks.confirmLeadership = [weak = weak_from_this()]() -> asio::awaitable<bool> {
            const auto self = weak.lock();
            if (!self)
                co_return false;
            const std::optional<RawDeclaration> confirmed = co_await self->readNewest();
            co_return confirmed && self->leads();
        };
        hooks.listing = [weak = weak_from_this()] {
            const auto self = weak.lock();
            return self ? withReportedStages(self->listing, self->loadTable.reports())
                        : BackendListing();
        };
        hooks.loads = [weak = weak_from_this()] {
            const auto self = weak.lock();
            return self ? self->loadTable.reports() : LoadReports();
        };
        hooks.platformIsReachedElsewhere = [weak = weak_from_this()](TimePoint now) {
            const auto self = weak.lock();
            return self
                && std::any_of(self->platformReachedAt.begin(), self->platformReachedAt.end(),
                               [&](const auto &entry) {
                                   return now - entry.second <= PlatformReachedTime;
                               });
        };
        return hooks;
    }

    void start()
    {
        duties = std::make_shared<DutyService>(executor, options, dutyHooks());
        MeshOptions mesh;
        mesh.instance = options.self;
        mesh.incarnation = Incarnation(options.seed);
        mesh.endpoint = "tcp://" + options.listenAddress.value_or(options.self).value();
        mesh.curveEnabled = false;
        mesh.metrics = options.metrics;
        link = std::make_unique<Mesh>(std::move(mesh), [this](ReceivedMessage message) {
            asio::post(executor, [weak = weak_from_this(), message = std::move(message)] {
                if (const auto self = weak.lock())
                    self->receive(message);
            });
        });
        openFolderWhenDue(RuntimeClock::now());
        asio::co_spawn(executor, run(), asio::detached);
        asio::co_spawn(executor, pollListing(), asio::detached);
        if (options.engineLoad)
            asio::co_spawn(executor, pollLoads(), asio::detached);
        if (options.orderStage)
            asio::co_spawn(executor, orderStages(), asio::detached);
        asio::co_spawn(executor, duties->run(), asio::detached);
    }

    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            const TimePoint now = RuntimeClock::now();
            reportStall(now);
            dropFailedLedger();
            openFolderWhenDue(now);
            if (ledger)
                ledger->tick(now);
            reportRollback();
            reportMissingLeader(now);
            if (now >= nextPresenceAt) {
                nextPresenceAt = now + PresenceInterval;
                sendPresence(now);
            }
            if (now >= nextCrashExchangeAt) {
                nextCrashExchangeAt = now + CrashExchangeInterval;
                exchangeCrashes(now);
            }
            if (now >= nextLimitExchangeAt) {
                nextLimitExchangeAt = now + LimitExchangeInterval;
                exchangeLimits(now);
            }
            if (now >= nextUsageExchangeAt) {
                nextUsageExchangeAt = now + UsageExchangeInterval;
                exchangeUsage(now);
            }
            if (leads() && now >= nextSeatUpdateAt) {
                nextSeatUpdateAt = now + SeatUpdateInterval;
                updateSeats(now);
            }
            if (now >= nextFlushAt) {
                nextFlushAt = now + LogFlushInterval;
                flushLog();
            }
            publishVoters(now);
            publishConfirmation(now);
            co_await sleepFor(TickInterval);
        }
    }

    /// Logs that the thread was blocked, for example by a disk, and what was dropped therefore.
    void reportStall(TimePoint now)
    {
        const Duration since = now - std::exchange(lastRunAt, now);
        if (since > StallThreshold)
            logWarning("loop_stalled", {{"ms", toMilliseconds(since)}});
        if (expiredMessages > 0)
            logWarning("messages_expired", {{"count", std::exchange(expiredMessages, 0)}});
    }

    // Data folder and ledger

    void openFolderWhenDue(TimePoint now)
    {
        if (ledger || now < nextFolderAttemptAt)
            return;
        nextFolderAttemptAt = now + FolderRetryInterval;
        Result<std::string> found = storage.open();
        if (!found)
            return logWarning("data_folder_unusable", {{"reason", found.message()}});
        seat = std::move(found).value();
        if (seat.empty())
            takeFoundingSeat();
        if (!seat.empty()) {
            startLedger(now);
        } else if (storage.usable()) {
            logInfo("seat_awaited", {});
            nextFolderAttemptAt
                = TimePoint::max(); // A spare opens no ledger until it takes a seat.
        }
    }

    /// At the first start of the system, the seeds take the first seats in the order of their
    /// names.
    void takeFoundingSeat()
    {
        if (!options.firstStart || hasHeldSeat)
            return;
        std::vector<InstanceId> founders = options.seeds;
        std::sort(founders.begin(), founders.end());
        const auto own = std::find(founders.begin(), founders.end(), options.self);
        const std::size_t index = own - founders.begin();
        if (own == founders.end() || index >= seats.size())
            return;
        takeSeat(seats[index], true);
    }

    void takeSeat(const std::string &name, bool founding)
    {
        if (const std::error_code error = storage.prepare(name, founding, randomSeed())) {
            logWarning("seat_not_prepared", {{"seat", name}, {"error", error.message()}});
            return;
        }
        seat = name;
        hasHeldSeat = true;
        logInfo("seat_taken", {{"seat", name}, {"founding", founding ? "yes" : "no"}});
    }

    void startLedger(TimePoint now)
    {
        hasHeldSeat = true;
        ReplicaOptions replica;
        replica.self = InstanceId(seat);
        replica.heartbeatInterval = LedgerHeartbeat;
        replica.electionTimeout = ElectionTimeout;
        replica.namesSuccessors = true;
        replica.seed = randomSeed();
        for (const std::string &name : seats)
            replica.voters.emplace_back(name);
        DeclarationHooks hooks;
        hooks.send = [this](const InstanceId &to, std::string payload) {
            sendToSeat(to, std::move(payload));
        };
        hooks.inForce = [](const RawDeclaration &declaration) {
            logInfo("declaration_in_force", {{"number", declaration.number}});
        };
        hooks.leadership = [this](bool nowLeads, Term term) {
            logInfo(nowLeads ? "leadership_gained" : "leadership_lost",
                    {{"seat", seat}, {"term", term.value()}});
            missingVoters.clear();
            move.reset();
            nextMoveAt = {};
            leadsSince = RuntimeClock::now();
            nextSeatUpdateAt = {};
            duties->noteLeadership(nowLeads, term, RuntimeClock::now());
            nextPresenceAt = {};
        };
        hooks.storageFailed = [this](const std::string &reason) {
            logError("storage_failed", {{"seat", seat}, {"reason", reason}});
            storageFailed = true;
        };
        hooks.persist = [this](std::function<std::error_code()> write,
                               std::function<void(std::error_code)> done) {
            asio::post(writer,
                       [self = weak_from_this(), write = std::move(write),
                        done = std::move(done)]() mutable {
                           const std::error_code error = write();
                           if (const auto node = self.lock())
                               asio::post(node->executor,
                                          [node, error, done = std::move(done)] { done(error); });
                       });
        };
        storageFailed = false;
        auto started = std::make_unique<DeclarationLedger>(replica, *storage.folder(), hooks);
        const Result<bool> result = started->start(now);
        storage.noteLedger(result.error());
        if (!result || storageFailed) {
            logWarning("ledger_not_opened", {{"seat", seat}, {"reason", result.message()}});
            storageFailed = false;
            return;
        }
        ledger = std::move(started);
        logInfo("ledger_opened",
                {{"seat", seat},
                 {"number", ledger->committed().number},
                 {"last_index", ledger->replica().lastIndex().value()}});
    }

    /// Closes the ledger after a storage failure. It is reopened later with the state on the disk.
    void dropFailedLedger()
    {
        if (!storageFailed)
            return;
        storageFailed = false;
        ledger.reset();
        folderIdentity = 0;
        nextFolderAttemptAt = RuntimeClock::now() + FolderRetryInterval;
    }

    void releaseSeat()
    {
        logInfo("seat_released", {{"seat", seat}});
        ledger.reset();
        folderIdentity = 0;
        seat.clear();
        nextFolderAttemptAt = TimePoint::max();
        nextPresenceAt = {};
        if (const std::error_code error = storage.release()) {
            logWarning("data_folder_not_emptied", {{"error", error.message()}});
            nextFolderAttemptAt = RuntimeClock::now() + FolderRetryInterval;
        }
    }

    bool leads() const { return ledger && ledger->leads(); }

    // Loads of engines

    /// Polls all engines on the leader only and sends the loads to the other registry processes, so
    /// that entry processes decide on the same loads and no engine is polled twice.
    asio::awaitable<void> pollLoads()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            const TimePoint startedAt = RuntimeClock::now();
            if (leads() && listing.digest != 0) {
                requestLoads();
                co_await sleepFor(LoadCollectionTime);
                publishLoads(startedAt);
            }
            co_await sleepFor(LoadInterval - LoadCollectionTime);
        }
    }

    void requestLoads()
    {
        const TimePoint now = RuntimeClock::now();
        std::vector<PollCandidate> engines;
        for (const ListedServer &server : listing.servers) {
            if (!server.engine)
                continue;
            const EngineLoadState &known = engineLoadStates[server.id];
            if (now - known.requestedAt < minPollInterval(server.id))
                continue;
            const bool idle = !known.load.engine.value().empty() && known.missedCount == 0
                && known.load.running + known.load.waiting == 0;
            engines.push_back({server.id, !idle});
        }
        const std::vector<BackendId> chosen = pollScheduler.next(engines);
        const std::set<BackendId> asked(chosen.begin(), chosen.end());
        for (const ListedServer &server : listing.servers) {
            if (asked.contains(server.id))
                asio::co_spawn(executor, requestLoad(server), asio::detached);
        }
    }

    /// Time between two requests for the load of an engine; zero unless it limits requests.
    Duration minPollInterval(const BackendId &engine) const
    {
        const std::optional<double> limit = limits.limitOf(engine);
        if (!limit)
            return Duration::zero();
        const std::chrono::duration<double> interval(1 / (LimitedPollShare * usableLimit(*limit)));
        return std::clamp(std::chrono::duration_cast<Duration>(interval), MinLimitedPollInterval,
                          MaxLimitedPollInterval);
    }

    asio::awaitable<void> requestLoad(ListedServer engine)
    {
        const auto self = shared_from_this();
        EngineLoadState &known = engineLoadStates[engine.id];
        if (known.requestPending)
            co_return;
        known.requestPending = true;
        known.requestedAt = RuntimeClock::now();
        const std::optional<ReportedLoad> load = co_await options.engineLoad(engine);
        EngineLoadState &answered = engineLoadStates[engine.id];
        answered.requestPending = false;
        answered.missedCount = load ? 0 : answered.missedCount + 1;
        if (load) {
            answered.load = *load;
            answered.answeredAt = RuntimeClock::now();
        }
        answered.load.engine = engine.id;
        answered.load.silent = answered.missedCount >= SilentAfterMissedAnswers;
        if (answered.missedCount == SilentAfterMissedAnswers)
            logWarning("engine_silent", {{"backend", engine.id.value()}});
    }

    void publishLoads(TimePoint takenAt)
    {
        LoadReports loads{.takenAt = takenAt, .engines = {}};
        engineSpeeds.publish(listing, takenAt);
        std::set<std::string> unevenServices;
        for (const ListedServer &server : listing.servers) {
            const auto known = engineLoadStates.find(server.id);
            if (known != engineLoadStates.end() && known->second.load.slownessPercent > 0)
                unevenServices.insert(server.service);
        }
        for (const ListedServer &server : listing.servers) {
            const auto known = engineLoadStates.find(server.id);
            if (known == engineLoadStates.end() || known->second.load.engine.value().empty())
                continue;
            loads.engines.push_back(known->second.load);
            ReportedLoad &load = loads.engines.back();
            // Servers that state how slow they are now share machines, of several kinds.
            if (unevenServices.contains(server.service))
                load.speed = engineSpeeds.speedOf(server.id);
            load.changing = load.changing || stageController.changing(server, takenAt);
            if (takenAt - known->second.answeredAt > MaxStageAge)
                load.stage = ReportedStage::Unknown;
            const ReportedStage listed
                = server.prefillOnly ? ReportedStage::Prefill : ReportedStage::Decode;
            load.stage = known->second.announcement.stageToSend(load.stage, listed, takenAt);
        }
        std::erase_if(engineLoadStates, [&](const auto &entry) {
            return !entry.second.requestPending
                && std::none_of(
                    listing.servers.begin(), listing.servers.end(),
                    [&](const ListedServer &server) { return server.id == entry.first; });
        });
        const bool full = loads.engines.size() <= SmallFleetEngineCount
            || ++loadRounds % RoundsPerFullLoads == 0;
        const std::uint64_t published = loadTable.version();
        loadTable.replace(std::move(loads));
        proto::RegistryMessage message;
        *message.mutable_loads() = toProto(loadTable.since(loadTable.epoch(), full ? 0 : published),
                                           RuntimeClock::now());
        for (const InstanceId &member : directory.contacts())
            send(member, message);
    }

    void receiveLoads(const proto::LoadTable &table, TimePoint now)
    {
        std::optional<LoadReports> received = leaderLoadTable.apply(fromProto(table, now));
        if (received && received->takenAt > loadTable.reports().takenAt)
            loadTable.replace(std::move(*received));
    }

    // Orders to engines

    /// Sends orders while this process leads. A new leader waits until at least the order lease has
    /// passed since the last possible order of its predecessor. A majority has to confirm the
    /// leadership before each order.
    asio::awaitable<void> orderStages()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            co_await sleepFor(OrderInterval);
            const TimePoint now = RuntimeClock::now();
            ServiceDelays delays = directory.delaysElsewhere(now);
            addDelays(delays, ownDelays(now));
            const BackendListing current = withReportedStages(listing, loadTable.reports());
            stageController.observe(current, delays, now);
            if (!leads() || !duties->authority().mayAct(now) || listing.digest == 0
                || now - listing.takenAt > MaxListAge)
                continue;
            const std::uint64_t term = duties->authority().token();
            stageController.setEntryProcesses(entryProcesses.size()
                                              + directory.entryProcessesElsewhere(now));
            ServiceDelays meanDelays = stageController.meanDelays();
            BackendListing settled = current;
            std::erase_if(settled.servers, [&](const ListedServer &server) {
                return !server.spot && duties->isReleasing(server.service, current, now);
            });
            const std::vector<StageOrder> orders
                = stageController.decide(settled, loadTable.reports(), now);
            // Lets entry instances learn which engines will change before those refuse requests.
            if (!orders.empty() && stageController.everBusy())
                co_await sleepFor(AnnouncementDelay);
            for (const StageOrder &order : orders) {
                // A leader that was elected again waits before it orders, and decides anew.
                const DutyPermit permit(term, RuntimeClock::now());
                const auto mayStart = [self, permit] {
                    return permit.isValid(self->duties->authority(), RuntimeClock::now());
                };
                const std::optional<RawDeclaration> confirmed = co_await readNewest();
                if (!confirmed || !mayStart())
                    break;
                const bool accepted = co_await options.orderStage(order, term, mayStart);
                const StageDelays &cause = meanDelays[order.engine.service];
                logInfo("stage_ordered",
                        {{"backend", order.engine.id.value()},
                         {"stage", order.prefill ? "prefill" : "decode"},
                         {"term", term},
                         {"requests_milli", thousandths(cause.requests)},
                         {"prefill_delay_milli", thousandths(cause.prefill)},
                         {"decode_delay_milli", thousandths(cause.decode)},
                         {"list_age_ms", toMilliseconds(now - listing.takenAt)},
                         {"accepted", accepted ? "yes" : "unknown"}});
            }
        }
    }

    // Messages

    void send(const InstanceId &to, const proto::RegistryMessage &message)
    {
        link->send(to, PayloadKind::Registry, message.SerializeAsString(), MessageTtl);
    }

    /// Sends to a member that may not hear this process on the connection to it. Not for calls,
    /// whose answers need that connection.
    void sendToMember(const InstanceId &to, const proto::RegistryMessage &message)
    {
        const std::string route = directory.returnRoute(to, RuntimeClock::now());
        if (route.empty())
            return send(to, message);
        link->reply(route, PayloadKind::Registry, message.SerializeAsString(), MessageTtl);
    }

    void answer(const ReceivedMessage &received, const proto::RegistryMessage &message)
    {
        link->reply(received.replyRoute, PayloadKind::Registry, message.SerializeAsString(),
                    MessageTtl);
    }

    void receive(const ReceivedMessage &received)
    {
        proto::RegistryMessage message;
        if (received.kind != PayloadKind::Registry || !message.ParseFromString(received.payload)) {
            logWarning("message_unreadable", {{"sender", received.sender.value()}});
            return;
        }
        const TimePoint now = RuntimeClock::now();
        if (received.expired(now)) {
            ++expiredMessages;
            return;
        }
        switch (message.body_case()) {
        case proto::RegistryMessage::kPresence:
            return receivePresence(received, message.presence(), now);
        case proto::RegistryMessage::kSeat:
            return receiveSeatMessage(received.sender, message.seat(), now);
        case proto::RegistryMessage::kOffer:
            return receiveOffer(message.offer(), now);
        case proto::RegistryMessage::kRelease:
            return receiveRelease(message.release());
        case proto::RegistryMessage::kDeclare:
            return receiveDeclare(received, message.declare());
        case proto::RegistryMessage::kRead:
            return receiveRead(received, message.read());
        case proto::RegistryMessage::kFeed:
            return receiveFeed(received, message.feed(), now);
        case proto::RegistryMessage::kLoads:
            return receiveLoads(message.loads(), now);
        case proto::RegistryMessage::kCrashes:
            crashes.merge(fromProto(message.crashes(), now), now);
            return;
        case proto::RegistryMessage::kLimitReports:
            limits.merge(fromProto(message.limit_reports(), now), now);
            return;
        case proto::RegistryMessage::kLimits:
            return limits.publish(fromProto(message.limits(), now));
        case proto::RegistryMessage::kDeclareAnswer:
            return finishCall(message.declare_answer().call(), message);
        case proto::RegistryMessage::kReadAnswer:
            return finishCall(message.read_answer().call(), message);
        case proto::RegistryMessage::kFeedAnswer:
            return finishCall(message.feed_answer().call(), message);
        case proto::RegistryMessage::kUsageReports:
            for (const proto::InstanceUsage &usage : message.usage_reports().instances())
                duties->usage().merge(fromProto(usage), now);
            return;
        case proto::RegistryMessage::kSpeedReports:
            for (const proto::SpeedObservation &observed : message.speed_reports().observations())
                engineSpeeds.add(fromProto(observed), now);
            return;
        case proto::RegistryMessage::kPeer:
            return receivePeer(received, message.peer(), now);
        case proto::RegistryMessage::BODY_NOT_SET:
            return;
        }
    }

    /// A record of a stream that an entry process leaves here, or a question for one.
    void receivePeer(const ReceivedMessage &received, const std::string &payload, TimePoint now)
    {
        std::optional<std::string> answered = streamRecords.onMessage(payload, now);
        if (!answered)
            return;
        proto::RegistryMessage message;
        message.set_peer(std::move(*answered));
        answer(received, message);
    }

    // Members and seats

    void sendPresence(TimePoint now)
    {
        directory.expire(now);
        for (const InstanceId &silent : directory.takeSilentMembers(now))
            link->reconnect(silent);
        std::erase_if(entryProcesses, [&](const auto &entry) {
            return now - entry.second.heardAt > EntryProcessTimeout;
        });
        proto::RegistryMessage message;
        proto::Presence &presence = *message.mutable_presence();
        presence.set_data_centre(options.dataCentre.value());
        presence.set_seat(ledger ? seat : std::string());
        presence.set_folder(ledger ? ledger->replica().identity() : 0);
        presence.set_entries(static_cast<std::uint32_t>(entryProcesses.size()));
        presence.set_takes_seat(!ledger && storage.takesSeat());
        presence.set_leads(leads());
        presence.set_term(ledger ? ledger->replica().term().value() : 0);
        addToProto(ownDelays(now), *presence.mutable_delays());
        presence.set_crashes_digest(crashes.digest());
        presence.set_wall_clock_ms(wallClockMs());
        if (const std::optional<Duration> age = duties->platformAge(now))
            presence.set_platform_ms(messageAgeMs(*age) + 1);
        addPeers(presence, now);
        addKnown(*presence.mutable_known(), now);
        for (const InstanceId &member : directory.contacts()) {
            send(member, message);
            if (!directory.returnRoute(member, now).empty())
                sendToMember(member, message);
        }
    }

    /// Adds the entry processes that ask this process to @p presence when they have changed or were
    /// not told for a while, and updates what these processes are told of each other.
    void addPeers(proto::Presence &presence, TimePoint now)
    {
        const std::vector<PeerInstance> heard = peers.heard(now);
        if (heard != toldPeers || now - peersToldAt >= PeersRepeatInterval) {
            toldPeers = heard;
            peersToldAt = now;
            *presence.mutable_asking() = toProto(heard);
        }
        if (now - peersUpdatedAt < PeersInterval)
            return;
        peersUpdatedAt = now;
        allPeers = peers.all(now);
        allPeersDigest = peersDigest(allPeers);
    }

    /// Delays that the entry processes measured that ask this process reported.
    ServiceDelays ownDelays(TimePoint now) const
    {
        ServiceDelays sum;
        for (const auto &[instance, process] : entryProcesses) {
            if (now - process.heardAt <= DelaysTimeout)
                addDelays(sum, process.delays);
        }
        return sum;
    }

    void addKnown(google::protobuf::RepeatedPtrField<proto::RegistryMember> &list,
                  TimePoint now) const
    {
        for (const KnownMember &member : directory.known(now)) {
            proto::RegistryMember &entry = *list.Add();
            entry.set_instance(member.instance.value());
            entry.set_data_centre(member.dataCentre.value());
            entry.set_heard_ms(messageAgeMs(member.contactAge));
            entry.set_contact_ms(messageAgeMs(member.directContactAge));
        }
    }

    void receivePresence(const ReceivedMessage &received, const proto::Presence &presence,
                         TimePoint now)
    {
        const InstanceId &sender = received.sender;
        // A process that takes or gives up a seat waits for this leader.
        if (leads() && directory.seatOf(sender) != presence.seat())
            nextSeatUpdateAt = {};
        directory.recordContact(sender,
                                {.dataCentre = DataCentreId(presence.data_centre()),
                                 .seat = presence.seat(),
                                 .folderId = presence.folder(),
                                 .takesSeat = presence.takes_seat(),
                                 .leads = presence.leads(),
                                 .term = presence.term(),
                                 .entryProcessCount = presence.entries(),
                                 .delays = fromProto(presence.delays())},
                                now, !received.replyRoute.empty());
        std::optional<Duration> heardAge;
        for (const proto::RegistryMember &member : presence.known()) {
            directory.recordReport(InstanceId(member.instance()),
                                   DataCentreId(member.data_centre()),
                                   std::chrono::milliseconds(member.heard_ms()), now);
            if (InstanceId(member.instance()) == options.self)
                heardAge = std::chrono::milliseconds(member.contact_ms());
        }
        if (!received.replyRoute.empty())
            directory.recordReturnRoute(sender, received.replyRoute, heardAge);
        if (heardAge)
            receiveEcho(sender, *heardAge, now);
        if (presence.wall_clock_ms() != 0)
            duties->clocks().note(sender, presence.wall_clock_ms(), now);
        if (presence.platform_ms() != 0 && !presence.seat().empty())
            platformReachedAt[sender] = now - std::chrono::milliseconds(presence.platform_ms() - 1);
        if (presence.has_asking())
            peers.noteReport(sender, fromProto(presence.asking()), now);
        if (presence.leads())
            redirectCalls(now);
        if (presence.crashes_digest() != crashes.digest())
            sendAllCrashes(sender, now);
    }

    // Crashes of backend servers

    /// Sends what entry processes reported to this process to all others, grants trials of blamed
    /// prompt parts while this process leads, and logs what is blamed.
    void exchangeCrashes(TimePoint now)
    {
        crashes.expire(now);
        const std::vector<BlamedPart> blamedParts = crashes.blamed(now);
        logBlame(blamedParts, now);
        if (leads())
            grantTrials(blamedParts, now);
        const CrashReports news = crashes.observedSince(sentCrashesVersion);
        sentCrashesVersion = crashes.version();
        if (news == CrashReports())
            return;
        proto::RegistryMessage message;
        *message.mutable_crashes() = toProto(news, now);
        for (const InstanceId &member : directory.contacts())
            send(member, message);
    }

    /// Sends all crash reports to a process that has other ones, unless that was done lately: a
    /// difference usually means that messages are on their way.
    void sendAllCrashes(const InstanceId &to, TimePoint now)
    {
        TimePoint &sentAt = allCrashesSentAt[to];
        if (now - sentAt < AllCrashesInterval || crashes.crashCount() == 0)
            return;
        sentAt = now;
        proto::RegistryMessage message;
        *message.mutable_crashes() = toProto(crashes.changedSince(0), now);
        sendToMember(to, message);
    }

    // Limits of backend servers

    /// Grants what the limits allow while this process leads; else tells the leader what entry
    /// processes reported to this process.
    void exchangeLimits(TimePoint now)
    {
        const LimitReports reports = limits.reports(now);
        if (leads() ? reports.limits.empty() : reports == LimitReports())
            return;
        proto::RegistryMessage message;
        if (!leads()) {
            const std::optional<InstanceId> to = leader(now);
            if (!to)
                return;
            *message.mutable_limit_reports() = toProto(reports, now);
            return send(*to, message);
        }
        if (now - leadsSince < LimitGrantDelay)
            return;
        *message.mutable_limits()
            = toProto(limits.grant(ledger->replica().term().value(), now), now);
        for (const InstanceId &member : directory.contacts())
            send(member, message);
        logGrants(now);
    }

    /// Sends measured speeds, and counts of usage that changed lately, to the leader, and all
    /// counts to a new one.
    void exchangeUsage(TimePoint now)
    {
        const std::optional<InstanceId> to = leads() ? std::nullopt : leader(now);
        if (!to) {
            speedReports.Clear();
            return;
        }
        if (speedReports.observations_size() > 0) {
            proto::RegistryMessage speeds;
            speeds.mutable_speed_reports()->Swap(&speedReports);
            speedReports.Clear();
            send(*to, speeds);
        }
        const bool isNew = std::exchange(usageLeader, *to) != *to;
        const std::vector<InstanceUsage> changed
            = duties->usage().changedSince(isNew ? TimePoint{} : now - UsageRepeatTime);
        if (changed.empty())
            return;
        proto::RegistryMessage message;
        for (const InstanceUsage &usage : changed)
            *message.mutable_usage_reports()->add_instances() = toProto(usage);
        send(*to, message);
    }

    void logGrants(TimePoint now)
    {
        if (now < nextGrantLogAt)
            return;
        nextGrantLogAt = now + GrantLogInterval;
        std::size_t logged = 0;
        for (const LimitSummary &summary : limits.summaries()) {
            if (++logged > MaxGrantLogLines)
                return;
            logInfo("limit_granted",
                    {{"backend", summary.server.value()},
                     {"limit_milli", thousandths(limits.limitOf(summary.server).value_or(0))},
                     {"granted", summary.granted},
                     {"held_milli", thousandths(summary.held)},
                     {"instances", summary.instances}});
        }
    }

    void grantTrials(const std::vector<BlamedPart> &blamedParts, TimePoint now)
    {
        for (const BlamedPart &blamedPart : blamedParts) {
            for (const auto &[instance, process] : entryProcesses) {
                const auto &refused = process.refusedParts;
                if (now - process.heardAt > DelaysTimeout
                    || std::find(refused.begin(), refused.end(), blamedPart.part) == refused.end())
                    continue;
                if (const auto trial = crashes.grantTrial(blamedPart, instance, now))
                    logInfo("part_trial",
                            {{"part", hexadecimal(trial->part)},
                             {"trial", trial->number},
                             {"instance", instance.value()},
                             {"last_crash_ms", toMilliseconds(now - blamedPart.lastCrashAt)}});
                break;
            }
        }
    }

    void logBlame(const std::vector<BlamedPart> &blamedParts, TimePoint now)
    {
        std::set<std::uint64_t> parts;
        for (const BlamedPart &blamedPart : blamedParts) {
            parts.insert(blamedPart.part);
            if (!loggedBlame.contains(blamedPart.part))
                logWarning("part_blamed",
                           {{"part", hexadecimal(blamedPart.part)},
                            {"kind", blamedPart.isRequest ? "request" : "prompt_part"},
                            {"crashes", blamedPart.crashes},
                            {"last_crash_ms", toMilliseconds(now - blamedPart.lastCrashAt)},
                            {"known_crashes", crashes.crashCount()}});
        }
        for (const std::uint64_t part : loggedBlame) {
            if (!parts.contains(part))
                logInfo("part_discharged", {{"part", hexadecimal(part)}});
        }
        loggedBlame = std::move(parts);
    }

    /// Calls to a leader that was lost are sent to its successor. Either may answer: a declaration
    /// that is sent again is the same one, and a read is confirmed by a majority.
    void redirectCalls(TimePoint now)
    {
        const std::optional<InstanceId> successor = leader(now);
        if (!successor)
            return;
        for (std::string &payload : leaderCalls.redirect(*successor))
            link->send(*successor, PayloadKind::Registry, std::move(payload), MessageTtl);
    }

    /// @p sender last heard this process @p contactAge ago.
    void receiveEcho(const InstanceId &sender, Duration contactAge, TimePoint now)
    {
        if (!directory.recordEcho(sender, contactAge, now))
            return;
        logWarning("connection_silent",
                   {{"peer", sender.value()}, {"contact_ms", toMilliseconds(contactAge)}});
        link->reconnect(sender);
    }

    std::vector<LedgerSeat> ledgerSeats() const
    {
        std::vector<LedgerSeat> result;
        for (const VoterView &voter : ledger->replica().voters())
            result.push_back({voter.instance.value(), voter.identity, voter.successor});
        return result;
    }

    LedgerSeat ledgerSeat(const std::string &name) const
    {
        for (const LedgerSeat &view : ledgerSeats()) {
            if (view.seat == name)
                return view;
        }
        return {name, 0};
    }

    /// Sends to the process that the ledger means by @p to: a seat, or successorName() of one.
    void sendToSeat(const InstanceId &to, std::string payload)
    {
        const InstanceId slot = slotOf(to);
        const std::vector<PeerStatus> peers = directory.peerStatuses(RuntimeClock::now());
        const LedgerSeat view = ledger ? ledgerSeat(slot.value()) : LedgerSeat{slot.value()};
        const PeerStatus *holder = voterOf(view, peers);
        // Without this process, the other one on its own seat may be the voter or the second.
        const bool isOwn = slot.value() == seat;
        if (to != slot && (!isOwn || !holder))
            holder = secondOf(view, peers);
        if (!holder)
            return;
        proto::RegistryMessage message;
        message.mutable_seat()->set_from_seat(seat);
        message.mutable_seat()->set_to_seat(slot.value());
        message.mutable_seat()->set_ledger(std::move(payload));
        sendToMember(holder->instance, message);
    }

    void receiveSeatMessage(const InstanceId &sender, const proto::SeatMessage &message,
                            TimePoint now)
    {
        if (!ledger || message.to_seat() != seat)
            return;
        const std::vector<PeerStatus> peers = directory.peerStatuses(now);
        const InstanceId slot(message.from_seat());
        const LedgerSeat view = ledgerSeat(slot.value());
        const auto isFrom
            = [&](const PeerStatus *peer) { return peer && peer->instance == sender; };
        const bool isVoter = isFrom(voterOf(view, peers));
        if (isVoter && slot.value() != seat)
            ledger->onMessage(slot, message.ledger(), now);
        else if (isVoter || isFrom(secondOf(view, peers)))
            ledger->onMessage(successorName(slot), message.ledger(), now);
    }

    void updateSeats(TimePoint now)
    {
        std::vector<PeerStatus> peers = directory.peerStatuses(now);
        for (const PeerStatus &peer : peers) {
            if (!peer.seat.empty() && peer.folderId == ledgerSeat(peer.seat).admittedFolderId)
                lastHolders[peer.seat] = peer.instance;
        }
        const TimePoint allowedAt
            = seatUpdatesAllowedAt({startedAt, leadsSince, directory.lastJoinedAt()});
        if (now < allowedAt) {
            nextSeatUpdateAt = allowedAt;
            return;
        }
        peers.push_back({options.self, options.dataCentre, seat, ledger->replica().identity(), {}});
        reportMissingVoters(peers, now);
        const std::vector<LedgerSeat> ledgerState = ledgerSeats();
        SeatOptions seatOptions;
        seatOptions.movesSeats = ledger->replica().knowsSuccessors();
        updateMove(ledgerState, peers, seatOptions, now);
        const std::set<std::string> moving
            = move ? std::set{move->change.seat} : std::set<std::string>();
        std::set<InstanceId> replaced;
        for (const std::string &name : seatsToReplace(ledgerState, peers, moving, seatOptions))
            replaced.insert(InstanceId(name));
        ledger->setSuccessors(replaced);
        SeatChanges changes = assignSeats(ledgerState, peers, lastHolders, seatOptions, moving);
        const auto holdsIt = [&](const PeerStatus &peer) {
            return peer.instance == move->change.instance && peer.seat == move->change.seat;
        };
        if (move && std::none_of(peers.begin(), peers.end(), holdsIt))
            changes.offers.push_back(move->change);
        // A folder that was replaced is needed until that is committed.
        if (!ledger->replica().foldersSettled())
            changes.releases.clear();
        for (const SeatChange &change : changes.offers) {
            logInfo("seat_offered", {{"seat", change.seat}, {"to", change.instance.value()}});
            proto::RegistryMessage message;
            message.mutable_offer()->set_seat(change.seat);
            sendToMember(change.instance, message);
        }
        for (const SeatChange &change : changes.releases) {
            const auto peer
                = std::find_if(peers.begin(), peers.end(), [&](const PeerStatus &entry) {
                      return entry.instance == change.instance;
                  });
            proto::RegistryMessage message;
            message.mutable_release()->set_seat(change.seat);
            message.mutable_release()->set_folder(peer->folderId);
            message.mutable_release()->set_term(ledger->replica().term().value());
            sendToMember(change.instance, message);
        }
    }

    /// Begins and ends the move of a seat to a less filled data centre. Its holder votes until the
    /// new one takes its place, and all voters have to be current before.
    void updateMove(const std::vector<LedgerSeat> &ledgerState,
                    const std::vector<PeerStatus> &peers, const SeatOptions &seatOptions,
                    TimePoint now)
    {
        if (move) {
            const PeerStatus *voter = voterOf(ledgerSeat(move->change.seat), peers);
            const bool isDone = voter && voter->instance == move->change.instance;
            if (!isDone && now - move->beganAt < MoveTimeout)
                return;
            logInfo("seat_move_ended",
                    {{"seat", move->change.seat},
                     {"to", move->change.instance.value()},
                     {"moved", isDone ? "yes" : "no"},
                     {"after_ms", toMilliseconds(now - move->beganAt)}});
            nextMoveAt = isDone ? now : now + MoveTimeout;
            move.reset();
        }
        const Replica &replica = ledger->replica();
        const bool allCurrent = replica.foldersSettled()
            && currentVoters(replica.voters(), replica.commitIndex(), now, ElectionTimeout)
                == seats.size();
        if (!seatOptions.movesSeats || !allCurrent || now < nextMoveAt)
            return;
        const std::optional<SeatChange> change
            = seatToMove(ledgerState, peers, options.self, seatOptions);
        if (!change)
            return;
        move = SeatMove{*change, now};
        logInfo("seat_moves", {{"seat", change->seat}, {"to", change->instance.value()}});
    }

    /// Callers notice nothing while a voter is missing, but the next loss may stop the ledger.
    void reportMissingVoters(const std::vector<PeerStatus> &peers, TimePoint now)
    {
        for (const LedgerSeat &voter : ledgerSeats()) {
            const PeerStatus *holder = holderOf(voter, peers);
            const bool votes = holder && voter.admittedFolderId != 0
                && holder->folderId == voter.admittedFolderId
                && holder->contactAge <= EntryProcessTimeout;
            AbsenceWatch &watch
                = missingVoters.try_emplace(voter.seat, MissingVoterInterval).first->second;
            if (const std::optional<Duration> missing = watch.note(votes, now))
                logWarning("voter_missing",
                           {{"seat", voter.seat}, {"for_ms", toMilliseconds(*missing)}});
        }
    }

    /// A voter without a leader logs what it knows of the other voters, so that the logs show why
    /// no election succeeds.
    void reportMissingLeader(TimePoint now)
    {
        const std::optional<Duration> missing
            = leaderWatch.note(!ledger || ledger->replica().leader(), now);
        if (!missing)
            return;
        const Replica &replica = ledger->replica();
        for (const VoterView &voter : replica.voters()) {
            if (voter.instance.value() == seat)
                continue;
            logWarning("leader_missing",
                       {{"for_ms", toMilliseconds(*missing)},
                        {"seat", seat},
                        {"term", replica.term().value()},
                        {"last_index", replica.lastIndex().value()},
                        {"admitted", replica.admitted() ? "yes" : "no"},
                        {"voter", voter.instance.value()},
                        {"voter_admitted", voter.admitted ? "yes" : "no"},
                        {"voter_rolled_back", voter.rolledBack ? "yes" : "no"},
                        {"voter_contact_ms",
                         voter.lastContact ? toMilliseconds(now - *voter.lastContact) : -1}});
        }
    }

    /// Logs that the own data folder was found to be rolled back, so that its votes do not count
    /// until a leader admits it again.
    void reportRollback()
    {
        const std::uint64_t identity = ledger ? ledger->replica().identity() : 0;
        const std::uint64_t earlier = std::exchange(folderIdentity, identity);
        if (earlier != 0 && identity != 0 && identity != earlier)
            logWarning("folder_rolled_back", {{"seat", seat}, {"folder", identity}});
    }

    /// Age of the confirmation that entry processes are told; infinite without one. Below zero, the
    /// confirmation is dated after the present.
    void publishConfirmation(TimePoint now)
    {
        if (!options.metrics)
            return;
        const std::optional<TimePoint> confirmed = ledger ? ledger->confirmedAt() : std::nullopt;
        options.metrics
            ->gauge("gentianramp_registry_confirmation_age_seconds",
                    "Time since a majority confirmed the committed declaration")
            .set(confirmed ? std::chrono::duration<double>(now - *confirmed).count()
                           : std::numeric_limits<double>::infinity());
        options.metrics
            ->gauge("gentianramp_registry_refused_confirmations",
                    "Confirmations of leaders with an age that can't be")
            .set(ledger ? static_cast<double>(ledger->refusedConfirmations()) : 0);
        options.metrics
            ->gauge("gentianramp_broken_invariants", "Invariants that were found broken so far")
            .set(static_cast<double>(brokenInvariantCount()));
    }

    /// Only the leader knows how current the voters are; elsewhere the gauge is 0.
    void publishVoters(TimePoint now)
    {
        if (!options.metrics)
            return;
        std::size_t current = 0;
        if (leads()) {
            const Replica &replica = ledger->replica();
            current = currentVoters(replica.voters(), replica.commitIndex(), now, ElectionTimeout);
        }
        options.metrics
            ->gauge("gentianramp_registry_current_voters",
                    "Admitted voters in contact with all committed entries, as the leader sees it")
            .set(static_cast<double>(current));
        options.metrics->gauge("gentianramp_registry_seats", "Voter positions of the ledger")
            .set(static_cast<double>(seats.size()));
    }

    void receiveOffer(const proto::SeatOffer &offer, TimePoint now)
    {
        if (ledger || !storage.takesSeat()
            || std::find(seats.begin(), seats.end(), offer.seat()) == seats.end())
            return;
        seat.clear();
        takeSeat(offer.seat(), false);
        if (!seat.empty())
            startLedger(now);
        nextFolderAttemptAt = now + FolderRetryInterval;
        nextPresenceAt = {};
    }

    void receiveRelease(const proto::SeatRelease &release)
    {
        if (!ledger || release.seat() != seat || release.folder() != ledger->replica().identity())
            return;
        // A former leader may not know that its successor has admitted this folder.
        const Replica &replica = ledger->replica();
        const bool isOutdated = release.term() != 0 && release.term() < replica.term().value()
            && replica.leader().has_value();
        // The leader repeats the message until the disk is idle.
        if (!isOutdated && !ledger->writing())
            releaseSeat();
    }

    // Declarations

    std::optional<InstanceId> leader(TimePoint now) const { return directory.leader(now); }

    void receiveDeclare(const ReceivedMessage &received, const proto::DeclareRequest &request)
    {
        const DeclareHook done = [this, received, call = request.call()](bool accepted) {
            proto::RegistryMessage message;
            message.mutable_declare_answer()->set_call(call);
            message.mutable_declare_answer()->set_accepted(accepted);
            answer(received, message);
        };
        RawDeclaration declaration{request.number(), request.content()};
        if (const std::string fault = faultOf(declaration); !fault.empty()) {
            logWarning("forwarded_declaration_refused",
                       {{"sender", received.sender.value()},
                        {"number", declaration.number},
                        {"reason", fault}});
            return done(false);
        }
        declareHere(std::move(declaration), done);
    }

    /// Why @p declaration can't come into force; empty if it can. A process of an earlier build
    /// forwards what this one refuses.
    std::string faultOf(const RawDeclaration &declaration) const
    {
        if (!options.parseDeclaration)
            return {};
        const Result<Declaration> parsed = options.parseDeclaration(declaration);
        if (!parsed)
            return parsed.message();
        if (parsed->number != declaration.number)
            return "it is forwarded under another number than its own";
        const std::vector<std::string> faults = declarationFaults(*parsed);
        return faults.empty() ? std::string() : faults.front();
    }

    void declareHere(RawDeclaration declaration, DeclareHook done)
    {
        if (!ledger)
            return done(false);
        ledger->declare(std::move(declaration), std::move(done), RuntimeClock::now());
    }

    void receiveRead(const ReceivedMessage &received, const proto::ReadRequest &request)
    {
        readHere([this, received, call = request.call()](std::optional<RawDeclaration> newest) {
            proto::RegistryMessage message;
            proto::ReadAnswer &read = *message.mutable_read_answer();
            read.set_call(call);
            read.set_certain(newest.has_value());
            if (newest) {
                read.set_number(newest->number);
                read.set_content(newest->content);
            }
            answer(received, message);
        });
    }

    void readHere(std::function<void(std::optional<RawDeclaration>)> done)
    {
        if (!leads())
            return done(std::nullopt);
        ledger->readNewest(std::move(done), RuntimeClock::now());
    }

    asio::awaitable<bool> declare(RawDeclaration declaration)
    {
        const auto self = shared_from_this();
        const bool isOld
            = ledger && !isNewerDeclaration(declaration.number, ledger->committed().number);
        if (leads() || isOld) {
            const auto accepted = std::make_shared<std::optional<bool>>();
            const auto done = std::make_shared<Timer>(executor, CallTimeout);
            declareHere(std::move(declaration), [accepted, done](bool value) {
                *accepted = value;
                done->cancel();
            });
            if (!*accepted)
                co_await waitFor(*done);
            if (!*accepted)
                logUnconfirmed("declare");
            co_return accepted->value_or(false);
        }
        proto::RegistryMessage message;
        const std::uint64_t call = ++nextCall;
        message.mutable_declare()->set_call(call);
        message.mutable_declare()->set_number(declaration.number);
        message.mutable_declare()->set_content(std::move(declaration.content));
        const std::optional<proto::RegistryMessage> answered
            = co_await callLeader(call, std::move(message));
        co_return answered && answered->declare_answer().accepted();
    }

    asio::awaitable<std::optional<RawDeclaration>> readNewest()
    {
        const auto self = shared_from_this();
        if (leads()) {
            struct Read
            {
                bool answered = false;
                std::optional<RawDeclaration> newest;
            };
            const auto read = std::make_shared<Read>();
            const auto done = std::make_shared<Timer>(executor, CallTimeout);
            readHere([read, done](std::optional<RawDeclaration> newest) {
                *read = {true, std::move(newest)};
                done->cancel();
            });
            if (!read->answered)
                co_await waitFor(*done);
            if (!read->answered)
                logUnconfirmed("read");
            co_return read->newest;
        }
        proto::RegistryMessage message;
        const std::uint64_t call = ++nextCall;
        message.mutable_read()->set_call(call);
        const auto answered = co_await callLeader(call, std::move(message));
        if (!answered || !answered->read_answer().certain())
            co_return std::nullopt;
        RawDeclaration newest{answered->read_answer().number(), answered->read_answer().content()};
        co_return newest;
    }

    /// A call to this leader that no majority answered in time.
    void logUnconfirmed(std::string_view call) const
    {
        if (!ledger)
            return;
        const Replica &replica = ledger->replica();
        logWarning("majority_silent",
                   {{"call", call},
                    {"term", replica.term().value()},
                    {"committed_index", replica.commitIndex().value()},
                    {"last_index", replica.lastIndex().value()},
                    {"confirmed_ms", loggedMs(confirmationAge(RuntimeClock::now()))}});
    }

    static asio::awaitable<void> waitFor(Timer &timer)
    {
        boost::system::error_code cancelled; // Ignored: an answer cancels the timer.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }

    asio::awaitable<std::optional<proto::RegistryMessage>>
    callLeader(std::uint64_t call, proto::RegistryMessage message)
    {
        const std::optional<InstanceId> to = leader(RuntimeClock::now());
        if (!to)
            co_return std::nullopt;
        const auto waiting = std::make_shared<WaitingCall>();
        waiting->timer = std::make_shared<Timer>(executor, CallTimeout);
        calls[call] = waiting;
        leaderCalls.add(call, *to, message.SerializeAsString());
        send(*to, message);
        co_await waitFor(*waiting->timer);
        calls.erase(call);
        leaderCalls.remove(call);
        if (!waiting->answer)
            logWarning("leader_silent",
                       {{"leader", to->value()},
                        {"call",
                         proto::RegistryMessage::descriptor()
                             ->FindFieldByNumber(message.body_case())
                             ->name()},
                        {"contact_ms", contactAgeMs(*to)},
                        {"confirmed_ms", loggedMs(confirmationAge(RuntimeClock::now()))}});
        co_return std::move(waiting->answer);
    }

    /// Time since the last presence message of @p instance.
    std::int64_t contactAgeMs(const InstanceId &instance) const
    {
        for (const PeerStatus &peer : directory.peerStatuses(RuntimeClock::now())) {
            if (peer.instance == instance)
                return toMilliseconds(peer.contactAge);
        }
        return -1;
    }

    void finishCall(std::uint64_t call, proto::RegistryMessage &message)
    {
        const auto found = calls.find(call);
        if (found == calls.end())
            return;
        found->second->answer = std::move(message);
        found->second->timer->cancel();
    }

    // Feed

    void receiveFeed(const ReceivedMessage &received, const proto::FeedRequest &request,
                     TimePoint now)
    {
        if (!request.registry())
            entryProcesses[received.sender]
                = {now,
                   fromProto(request.delays()),
                   {request.refused_parts().begin(), request.refused_parts().end()}};
        if (!request.registry())
            limits.merge(limitReports(request, received.sender, now), now);
        if (!request.data_centre().empty())
            peers.noteHeard(
                {received.sender, DataCentreId(request.data_centre()), request.cut_off()}, now);
        if (request.has_usage()) {
            InstanceUsage usage = fromProto(request.usage());
            usage.instance = received.sender;
            duties->usage().merge(usage, now);
        }
        for (const proto::SpeedObservation &observed : request.speeds()) {
            engineSpeeds.add(fromProto(observed), now);
            if (!leads())
                *speedReports.add_observations() = observed;
        }
        const CrashReports reports = fromProto(request.crashes(), now);
        for (const ServerCrash &crash : reports.crashes)
            crashes.addCrash(crash, now);
        crashes.merge({.crashes = {}, .trials = reports.trials}, now);
        proto::RegistryMessage message;
        proto::FeedAnswer &feed = *message.mutable_feed_answer();
        feed.set_call(request.call());
        const std::size_t fullBytes = fullAnswerBytes(request);
        // Over the rate limit, the answer has neither declaration nor list, and the entry process
        // asks another registry process at once.
        const bool withinBudget
            = fullBytes == 0 || fullAnswerBudget.take(static_cast<double>(fullBytes), now);
        const std::optional<Duration> confirmed = confirmationAge(now);
        feed.set_confirmed_ms(withinBudget && confirmed ? messageAgeMs(*confirmed)
                                                        : NeverConfirmed);
        if (ledger && withinBudget) {
            feed.set_number(ledger->committed().number);
            if (lacksDeclaration(request))
                feed.set_packed_content(packedDeclaration());
        }
        if (listing.digest != 0 && withinBudget) {
            feed.set_list_digest(listing.digest);
            feed.set_list_age_ms(freshnessAgeMs(listing.takenAt, now));
            if (listing.digest != request.list_digest())
                *feed.mutable_list() = listSince(request.list_digest());
        }
        // Goes with a list only, which it has to be compared with.
        if (request.wants_versions() && listing.digest != 0 && withinBudget) {
            if (const std::optional<VersionReport> report = versions.report(now))
                addToProto(*report, feed);
        }
        if (now - loadTable.reports().takenAt < LoadRetention && !request.registry())
            *feed.mutable_loads()
                = toProto(loadTable.since(request.loads_epoch(), request.loads_version()), now);
        // Tells the versions of this process's evidence from those of others.
        const std::uint64_t crashesEpoch = std::max<std::uint64_t>(options.seed, 1);
        feed.set_crashes_epoch(crashesEpoch);
        feed.set_crashes_version(crashes.version());
        const bool sameEvidence = request.crashes_epoch() == crashesEpoch;
        const CrashReports news
            = crashes.changedSince(sameEvidence ? request.crashes_version() : 0);
        if (news != CrashReports() && !request.registry())
            *feed.mutable_crashes() = toProto(news, now);
        feed.set_true_time_ms(duties->trueMs(now));
        feed.set_usage_epoch(crashesEpoch);
        feed.set_usage_sequence(request.usage().sequence());
        if (ledger && ledger->committedUsage())
            feed.set_usage_decided(ledger->committedUsage()->decided);
        feed.set_peers_digest(allPeersDigest);
        if (!request.data_centre().empty() && request.peers_digest() != allPeersDigest)
            *feed.mutable_peers() = toProto(allPeers);
        if (const auto table = limits.tableFor(received.sender, now))
            *feed.mutable_limits() = toProto(*table, now);
        addKnown(*feed.mutable_known(), now);
        feed.set_entries(static_cast<std::uint32_t>(entryProcesses.size())
                         + directory.entryProcessesElsewhere(now));
        answer(received, message);
    }

    bool lacksDeclaration(const proto::FeedRequest &request) const
    {
        return ledger && isNewerDeclaration(ledger->committed().number, request.number())
            && !request.registry();
    }

    /// Size of the list and the declaration in the answer to @p request; 0 if below
    /// SmallAnswerBytes.
    std::size_t fullAnswerBytes(const proto::FeedRequest &request)
    {
        std::size_t bytes = 0;
        if (lacksDeclaration(request))
            bytes += packedDeclaration().size();
        if (listing.digest != 0 && listing.digest != request.list_digest())
            bytes += listSince(request.list_digest()).ByteSizeLong();
        return bytes < SmallAnswerBytes ? 0 : bytes;
    }

    /// The change from the list with @p digest to the newest one, cached for all processes with
    /// that list.
    const proto::BackendList &listSince(std::uint64_t digest)
    {
        const auto [made, isNew] = listAnswers.try_emplace(digest);
        if (isNew)
            made->second = toProto(history.since(digest));
        return made->second;
    }

    /// The committed declaration in packed form, cached until a newer one is committed.
    const std::string &packedDeclaration()
    {
        if (packedNumber != ledger->committed().number) {
            packedNumber = ledger->committed().number;
            packed = packText(ledger->committed().content);
        }
        return packed;
    }

    /// Time since a majority last confirmed that the committed declaration is the newest one;
    /// empty: never, as far as can be told.
    std::optional<Duration> confirmationAge(TimePoint now) const
    {
        const std::optional<TimePoint> confirmed = ledger ? ledger->confirmedAt() : std::nullopt;
        return confirmed ? ageOf(*confirmed, now, "registry.confirmation_not_after_now")
                         : std::nullopt;
    }

    /// Of a log line; -1: never.
    static std::int64_t loggedMs(const std::optional<Duration> &age)
    {
        return age ? toMilliseconds(*age) : -1;
    }

    asio::awaitable<void> pollListing()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            const TimePoint startedAt = RuntimeClock::now();
            const std::size_t processes = directory.contacts().size() + 1;
            if (reader.minInterval(processes) > MaxSharedReadingInterval && !leads()
                && co_await fetchLeaderListing()) {
                co_await sleepFor(LeaderListInterval);
                continue;
            }
            Result<std::vector<ListedServer>> read = co_await reader.readAll();
            if (read) {
                duties->notePlatformReached(RuntimeClock::now());
                const std::uint64_t digest = listingDigest(*read);
                storeListing({digest, startedAt, std::move(read).value()});
            } else {
                logWarning("backend_list_unavailable",
                           {{"error", read.error().message()}, {"reason", read.message()}});
            }
            const bool leaderReadsAlone = reader.minInterval(processes) > MaxSharedReadingInterval;
            const std::size_t readers = leaderReadsAlone ? 1 : processes;
            const Duration interval
                = std::max<Duration>({ListingIntervalPerProcess * readers, MinListingInterval,
                                      reader.minInterval(readers)});
            co_await sleepFor(interval - std::min(interval, RuntimeClock::now() - startedAt));
        }
    }

    void storeListing(BackendListing read)
    {
        if (read.digest != listing.digest) {
            logInfo("backend_list_changed",
                    {{"servers", read.servers.size()}, {"digest", read.digest}});
            listAnswers.clear();
        }
        versions.note(read);
        history.add(std::move(read));
    }

    /// Fetches the leader's list; false if the leader does not answer or neither its list nor the
    /// stored one is younger than MaxListAge.
    asio::awaitable<bool> fetchLeaderListing()
    {
        const TimePoint requestedAt = RuntimeClock::now();
        proto::RegistryMessage message;
        const std::uint64_t call = ++nextCall;
        message.mutable_feed()->set_call(call);
        message.mutable_feed()->set_registry(true);
        message.mutable_feed()->set_list_digest(listing.digest);
        const std::optional<proto::RegistryMessage> answered
            = co_await callLeader(call, std::move(message));
        if (!answered || answered->feed_answer().list_digest() == 0)
            co_return false;
        const proto::FeedAnswer &feed = answered->feed_answer();
        const TimePoint takenAt = requestedAt - std::chrono::milliseconds(feed.list_age_ms());
        if (requestedAt - takenAt > MaxListAge || takenAt < listing.takenAt)
            co_return requestedAt - listing.takenAt <= MaxListAge;
        if (feed.list_digest() == listing.digest) {
            storeListing({listing.digest, takenAt, listing.servers});
            co_return true;
        }
        const std::optional<ListingChange> change = fromProto(feed.list(), feed.list_digest());
        if (!change || (change->baseDigest != 0 && change->baseDigest != listing.digest))
            co_return false;
        storeListing({change->newDigest, takenAt, applyChange(history.sorted(), *change)});
        co_return true;
    }

    asio::any_io_executor executor;
    RegistryOptions options;
    std::vector<std::string> seats;
    MemberDirectory directory;
    std::map<InstanceId, EntryProcess> entryProcesses;
    PeerDirectory peers;
    std::vector<PeerInstance> toldPeers; ///< As of peersToldAt.
    TimePoint peersToldAt{};
    std::vector<PeerInstance> allPeers; ///< As of peersUpdatedAt.
    std::uint64_t allPeersDigest = 0;
    TimePoint peersUpdatedAt{};
    CrashEvidence crashes;
    std::uint64_t sentCrashesVersion = 0;
    std::map<InstanceId, TimePoint> allCrashesSentAt;
    std::set<std::uint64_t> loggedBlame;
    TimePoint nextCrashExchangeAt{};
    LimitExchange limits;
    TimePoint nextLimitExchangeAt{};
    TimePoint nextGrantLogAt{};
    asio::thread_pool writer{1}; ///< Waits for the disk.
    SeatStorage storage;
    std::string seat; ///< Empty for a spare.
    bool hasHeldSeat = false;
    std::unique_ptr<DeclarationLedger> ledger;
    bool storageFailed = false;
    TimePoint startedAt = RuntimeClock::now();
    TimePoint lastRunAt = startedAt;
    std::uint64_t expiredMessages
        = 0; ///< Dropped before they were handled, since the last log line.
    TimePoint nextFolderAttemptAt{};
    TimePoint nextPresenceAt{};
    TimePoint nextFlushAt{};
    TimePoint nextSeatUpdateAt{};
    TimePoint leadsSince{};
    EngineSpeeds engineSpeeds;
    proto::SpeedReports speedReports; ///< Not sent to the leader yet.
    std::shared_ptr<DutyService> duties;
    InstanceId usageLeader; ///< Last leader that was sent counts of usage.
    TimePoint nextUsageExchangeAt{};
    /// When other processes that may lead last reached the platform.
    std::map<InstanceId, TimePoint> platformReachedAt;
    StageController stageController;
    std::map<std::string, InstanceId> lastHolders;
    std::optional<SeatMove> move; ///< Used while this process leads, as is nextMoveAt.
    TimePoint nextMoveAt{};
    std::map<InstanceId, std::string> heardSeats;      ///< As of the last presence of each process.
    std::map<std::string, AbsenceWatch> missingVoters; ///< By seat; used while this process leads.
    AbsenceWatch leaderWatch{MissingLeaderInterval};
    std::uint64_t folderIdentity = 0; ///< Of the open ledger.
    std::uint64_t packedNumber = 0;
    std::string packed;
    ListingHistory history;
    ListedVersions versions;
    StreamRecordKeeper streamRecords;
    const BackendListing &listing = history.newest();
    std::map<std::uint64_t, proto::BackendList> listAnswers; ///< By the digest in the request.
    ListingReader reader;
    TokenBucket fullAnswerBudget{FullAnswerBytesPerSecond, FullAnswerBurstBytes};
    VersionedLoadTable loadTable;
    LoadTableReplica leaderLoadTable; ///< Received from the leader.
    LoadPollScheduler pollScheduler{MaxPolledPerRound};
    unsigned loadRounds = 0;
    std::map<BackendId, EngineLoadState> engineLoadStates;
    std::uint64_t nextCall;
    std::map<std::uint64_t, std::shared_ptr<WaitingCall>> calls;
    LeaderCalls leaderCalls;
    bool stopping = false;
    std::unique_ptr<Mesh> link; ///< Last member, so that its thread is stopped first.
};

RegistryNode::RegistryNode(asio::any_io_executor executor, RegistryOptions options)
    : m_state(std::make_shared<State>(std::move(executor), std::move(options)))
{ }

RegistryNode::~RegistryNode()
{
    m_state->stopping = true;
    if (m_state->duties)
        m_state->duties->stop();
    m_state->link.reset();
    m_state->writer.stop();
    m_state->writer.join();
}

void RegistryNode::start()
{
    m_state->start();
}

void RegistryNode::setSeeds(std::vector<InstanceId> seeds)
{
    m_state->directory.setSeeds(std::move(seeds));
}

asio::awaitable<bool> RegistryNode::declare(RawDeclaration declaration)
{
    return m_state->declare(std::move(declaration));
}

asio::awaitable<std::optional<RawDeclaration>> RegistryNode::readNewest()
{
    return m_state->readNewest();
}

void RegistryNode::shutdown(std::function<void()> done)
{
    if (m_state->ledger)
        m_state->ledger->transferLeadership(RuntimeClock::now());
    const auto timer = std::make_shared<Timer>(m_state->executor, LeadershipTransferTime);
    timer->async_wait(
        [timer, done = std::move(done)](const boost::system::error_code &) { done(); });
}

} // namespace gentianramp
