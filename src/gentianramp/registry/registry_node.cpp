#include <gentianramp/registry/registry_node.hpp>

#include "registry_codec.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/random_seed.hpp>
#include <gentianramp/registry/listing_history.hpp>
#include <gentianramp/registry/load_board.hpp>
#include <gentianramp/registry/load_rota.hpp>
#include <gentianramp/registry/member_directory.hpp>
#include <gentianramp/registry/packed_text.hpp>
#include <gentianramp/registry/voter_folder.hpp>
#include <gentianramp/wire/mesh.hpp>
#include <limits>
#include <set>

namespace gentianramp {

namespace asio = boost::asio;

namespace {

/// The ledger's clock; a quarter of its heartbeat.
constexpr Duration TickInterval = std::chrono::milliseconds(60);
constexpr Duration PresenceInterval = std::chrono::milliseconds(300);
/// A leader that is gone is noticed after one to two of these. Operators' changes have to be
/// acknowledged within 4 s of a stable core.
constexpr Duration ElectionTimeout = std::chrono::milliseconds(900);
constexpr Duration LedgerHeartbeat = std::chrono::milliseconds(225);
/// Operators' clients give a call up after 1 s without an answer.
constexpr Duration CallTimeout = std::chrono::milliseconds(850);
constexpr Duration MessageTtl = std::chrono::seconds(1);
/// Between two tries to open a data folder whose disk is full or does not answer.
constexpr Duration FolderRetryInterval = std::chrono::milliseconds(400);
/// A leader knows all claims after two rounds of presence.
constexpr Duration ClaimsSettleTime = std::chrono::milliseconds(1200);
constexpr Duration OfferInterval = std::chrono::milliseconds(500);
/// Each process reads the list that often per known registry process, so that all together read it
/// at a rate that does not depend on how many there are.
constexpr Duration ListingShare = std::chrono::milliseconds(250);
constexpr Duration ListingShortestInterval = std::chrono::milliseconds(600);
/// For the chosen successor to win its election, one round trip and a sync.
constexpr Duration HandOverTime = std::chrono::milliseconds(300);
/// Engines' own figures are a tenth of a second old; four questions a second cost a third of a
/// hundredth of the worth of a calm day.
constexpr Duration LoadInterval = std::chrono::milliseconds(250);
constexpr Duration LoadAnswerTime = std::chrono::milliseconds(30);
constexpr Duration LoadMemory = std::chrono::seconds(2);
constexpr unsigned MissesToSilence = 2;
/// With a question of 0.7 KB, 400 of them a second are a third of a megabyte and a tenth of the
/// smallest core's processor.
constexpr std::size_t MostAskedInRound = 100;
/// Other registry processes get changes of the loads; all of them at times, should one get lost.
constexpr unsigned WholeLoadsEvery = 8;
constexpr std::size_t FewEngines = 64; ///< Their loads always go whole: 1.5 KB.
/// A list that each process can read that often is read by all of them.
constexpr Duration SharedReadingInterval = std::chrono::milliseconds(2500);
/// Lists and declarations that go out whole, a sixth of a core machine's link: after a restart all
/// entry processes ask for them at once, and answers that wait take memory.
constexpr double WholeBytesPerSecond = 20e6;
constexpr double WholeBytesBurst = 2e6;
constexpr std::size_t SmallAnswerBytes = 16 * 1024;
constexpr Duration ListAskInterval = std::chrono::milliseconds(250);
constexpr Duration OrderInterval = std::chrono::milliseconds(500);
/// For the next reports to reach all entry instances: one interval of the reports, one of the feed.
constexpr Duration AnnounceTime = std::chrono::milliseconds(600);
constexpr Duration OrderListAge = std::chrono::seconds(2);
/// A leader that lost its majority may still believe in it for an election timeout, and its order
/// may be on its way for a call's time.
constexpr Duration OrderMargin = std::chrono::milliseconds(1200);
constexpr Duration LogFlushInterval = std::chrono::milliseconds(250);
constexpr Duration EntryMemory = std::chrono::seconds(3);
constexpr std::uint32_t NeverConfirmed = std::numeric_limits<std::uint32_t>::max();

std::string seatName(unsigned number)
{
    return "seat-" + std::to_string(number);
}

std::uint32_t clampedMs(Duration value)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(toMilliseconds(value), 0, NeverConfirmed - 1));
}

/// What the leader knows of an engine's answers.
struct EngineAnswer
{
    ReportedLoad load;
    bool asking = false;
    unsigned misses = 0; ///< Questions in a row without an answer.
};

/// Answer to a call that waits for another process.
struct WaitingCall
{
    std::shared_ptr<Timer> timer;
    std::optional<proto::RegistryMessage> answer;
};

} // namespace

struct RegistryNode::State : std::enable_shared_from_this<RegistryNode::State>
{
    State(asio::any_io_executor given, RegistryOptions chosen)
        : executor(std::move(given))
        , options(std::move(chosen))
        , directory(options.self)
        , reader(options.listing, options.listCallsPerSecond)
        , board(std::max<std::uint64_t>(options.seed, 1))
        , nextCall(options.seed)
    {
        directory.setSeeds(options.seeds);
        for (unsigned number = 1; number <= options.seats; ++number)
            seats.push_back(seatName(number));
    }

    void start()
    {
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
    }

    asio::awaitable<void> run()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            const TimePoint now = RuntimeClock::now();
            dropFailedLedger();
            openFolderWhenDue(now);
            if (ledger)
                ledger->tick(now);
            if (now >= presenceDue) {
                presenceDue = now + PresenceInterval;
                sendPresence(now);
            }
            if (leads() && now >= offersDue) {
                offersDue = now + OfferInterval;
                assign(now);
            }
            if (now >= flushDue) {
                flushDue = now + LogFlushInterval;
                flushLog();
            }
            co_await sleepFor(TickInterval);
        }
    }

    // Data folder and ledger

    void openFolderWhenDue(TimePoint now)
    {
        if (ledger || now < folderDue)
            return;
        folderDue = now + FolderRetryInterval;
        Result<Disk> opened = openFolder(options.dataFolder);
        if (!opened)
            return logWarning("data_folder_unusable", {{"reason", opened.message()}});
        disk = std::move(opened).value();
        Result<std::string> found = readSeat(*disk);
        if (!found)
            return logWarning("data_folder_unreadable", {{"reason", found.message()}});
        seat = std::move(found).value();
        if (seat.empty())
            foundSeat();
        if (!seat.empty())
            startLedger(now);
        else
            folderDue = TimePoint::max(); // A spare has nothing to open until it gets a seat.
    }

    /// At the first start of the system the seeds take the first seats, in the order of their
    /// names.
    void foundSeat()
    {
        if (!options.firstStart || everSeated)
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
        if (const std::error_code error = prepareSeat(*disk, name, founding, randomSeed())) {
            logWarning("seat_not_prepared", {{"seat", name}, {"error", error.message()}});
            return;
        }
        seat = name;
        everSeated = true;
        logInfo("seat_taken", {{"seat", name}, {"founding", founding ? "yes" : "no"}});
    }

    void startLedger(TimePoint now)
    {
        everSeated = true;
        ReplicaOptions replica;
        replica.self = InstanceId(seat);
        replica.heartbeatInterval = LedgerHeartbeat;
        replica.electionTimeout = ElectionTimeout;
        replica.seed = randomSeed();
        for (const std::string &name : seats)
            replica.voters.emplace_back(name);
        DeclarationHooks hooks;
        hooks.send = [this](const InstanceId &to, std::string payload) {
            sendToSeat(to.value(), std::move(payload));
        };
        hooks.inForce = [](const StoredContent &declaration) {
            logInfo("declaration_in_force", {{"number", declaration.number}});
        };
        hooks.leadership = [this](bool nowLeads, Term term) {
            logInfo(nowLeads ? "leadership_gained" : "leadership_lost",
                    {{"seat", seat}, {"term", term.value()}});
            claimsDue = RuntimeClock::now() + ClaimsSettleTime;
            ordersDue = RuntimeClock::now() + options.orderLease + OrderMargin;
            presenceDue = {};
        };
        hooks.storageFailed = [this](const std::string &reason) {
            logError("storage_failed", {{"seat", seat}, {"reason", reason}});
            storageFailed = true;
        };
        storageFailed = false;
        auto started = std::make_unique<DeclarationLedger>(replica, *disk, hooks);
        const Result<bool> result = started->start(now);
        if (!result || storageFailed) {
            logWarning("ledger_not_opened", {{"seat", seat}, {"reason", result.message()}});
            storageFailed = false;
            return;
        }
        ledger = std::move(started);
        logInfo("ledger_opened",
                {{"seat", seat},
                 {"number", ledger->held().number},
                 {"last_index", ledger->replica().lastIndex().value()}});
    }

    /// The disk is tried again later; what was written before is read again from it.
    void dropFailedLedger()
    {
        if (!storageFailed)
            return;
        storageFailed = false;
        ledger.reset();
        disk.reset(); // Its lock would keep the folder from being opened again.
        folderDue = RuntimeClock::now() + FolderRetryInterval;
    }

    void releaseSeat()
    {
        logInfo("seat_released", {{"seat", seat}});
        ledger.reset();
        seat.clear();
        folderDue = TimePoint::max();
        if (const std::error_code error = emptyFolder(*disk)) {
            logWarning("data_folder_not_emptied", {{"error", error.message()}});
            folderDue = RuntimeClock::now() + FolderRetryInterval;
        }
    }

    bool leads() const { return ledger && ledger->leads(); }

    // Loads of engines

    /// The leader asks all engines and tells the other registry processes, so that entry processes
    /// decide on one picture and engines are asked once.
    asio::awaitable<void> pollLoads()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            const TimePoint began = RuntimeClock::now();
            if (leads() && listing.digest != 0) {
                askLoads();
                co_await sleepFor(LoadAnswerTime);
                publishLoads(began);
            }
            co_await sleepFor(LoadInterval - LoadAnswerTime);
        }
    }

    void askLoads()
    {
        std::vector<AskableEngine> engines;
        for (const ListedServer &server : listing.servers) {
            if (!server.engine)
                continue;
            const EngineAnswer &known = engineAnswers[server.id];
            const bool idle = !known.load.engine.value().empty() && known.misses == 0
                && known.load.running + known.load.waiting == 0;
            engines.push_back({server.id, !idle});
        }
        const std::vector<BackendId> chosen = rota.next(engines);
        const std::set<BackendId> asked(chosen.begin(), chosen.end());
        for (const ListedServer &server : listing.servers) {
            if (asked.contains(server.id))
                asio::co_spawn(executor, askLoad(server), asio::detached);
        }
    }

    asio::awaitable<void> askLoad(ListedServer engine)
    {
        const auto self = shared_from_this();
        EngineAnswer &known = engineAnswers[engine.id];
        if (known.asking)
            co_return;
        known.asking = true;
        const std::optional<ReportedLoad> load = co_await options.engineLoad(engine);
        EngineAnswer &answered = engineAnswers[engine.id];
        answered.asking = false;
        answered.misses = load ? 0 : answered.misses + 1;
        if (load)
            answered.load = *load;
        answered.load.engine = engine.id;
        answered.load.silent = answered.misses >= MissesToSilence;
        if (answered.misses == MissesToSilence)
            logWarning("engine_silent", {{"backend", engine.id.value()}});
    }

    void publishLoads(TimePoint takenAt)
    {
        LoadReports loads{.takenAt = takenAt, .engines = {}};
        for (const ListedServer &server : listing.servers) {
            const auto known = engineAnswers.find(server.id);
            if (known == engineAnswers.end() || known->second.load.engine.value().empty())
                continue;
            loads.engines.push_back(known->second.load);
            loads.engines.back().changing = stages.changing(server, takenAt);
        }
        std::erase_if(engineAnswers, [&](const auto &entry) {
            return !entry.second.asking
                && std::none_of(
                    listing.servers.begin(), listing.servers.end(),
                    [&](const ListedServer &server) { return server.id == entry.first; });
        });
        const bool whole
            = loads.engines.size() <= FewEngines || ++loadRounds % WholeLoadsEvery == 0;
        const std::uint64_t published = board.version();
        board.replace(std::move(loads));
        proto::RegistryMessage message;
        *message.mutable_loads()
            = toProto(board.since(board.epoch(), whole ? 0 : published), RuntimeClock::now());
        for (const InstanceId &member : directory.contacts())
            send(member, message);
    }

    void noteLoads(const proto::LoadTable &table, TimePoint now)
    {
        std::optional<LoadReports> received = leaderLoads.apply(fromProto(table, now));
        if (received && received->takenAt > board.reports().takenAt)
            board.replace(std::move(*received));
    }

    // Orders to engines

    /// Gives orders while this process leads. A new leader waits until the one before it can have
    /// given its last order the lease ago; leadership is confirmed by a majority before each order.
    asio::awaitable<void> orderStages()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            co_await sleepFor(OrderInterval);
            const TimePoint now = RuntimeClock::now();
            if (!leads() || now < ordersDue || listing.digest == 0
                || now - listing.takenAt > OrderListAge)
                continue;
            const std::vector<StageOrder> orders = stages.decide(listing, board.reports(), now);
            // Entry instances learn from the reports which engines change before these refuse work.
            if (!orders.empty())
                co_await sleepFor(AnnounceTime);
            for (const StageOrder &order : orders) {
                const std::optional<StoredContent> confirmed = co_await readNewest();
                if (!confirmed || !leads())
                    break;
                const std::uint64_t term = ledger->replica().term().value();
                const bool accepted = co_await options.orderStage(order, term);
                logInfo("stage_ordered",
                        {{"backend", order.engine.id.value()},
                         {"stage", order.prefill ? "prefill" : "decode"},
                         {"term", term},
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
        switch (message.body_case()) {
        case proto::RegistryMessage::kPresence:
            return notePresence(received.sender, message.presence(), now);
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
            return noteLoads(message.loads(), now);
        case proto::RegistryMessage::kDeclareAnswer:
            return finishCall(message.declare_answer().call(), message);
        case proto::RegistryMessage::kReadAnswer:
            return finishCall(message.read_answer().call(), message);
        case proto::RegistryMessage::kFeedAnswer:
            return finishCall(message.feed_answer().call(), message);
        case proto::RegistryMessage::BODY_NOT_SET:
            return;
        }
    }

    // Members and seats

    void sendPresence(TimePoint now)
    {
        directory.expire(now);
        std::erase_if(entries, [&](const auto &entry) { return now - entry.second > EntryMemory; });
        proto::RegistryMessage message;
        proto::Presence &presence = *message.mutable_presence();
        presence.set_data_centre(options.dataCentre.value());
        presence.set_seat(ledger ? seat : std::string());
        presence.set_folder(ledger ? ledger->replica().identity() : 0);
        presence.set_entries(static_cast<std::uint32_t>(entries.size()));
        presence.set_leads(leads());
        presence.set_term(ledger ? ledger->replica().term().value() : 0);
        addKnown(*presence.mutable_known(), now);
        for (const InstanceId &member : directory.contacts())
            send(member, message);
    }

    void addKnown(google::protobuf::RepeatedPtrField<proto::RegistryMember> &list,
                  TimePoint now) const
    {
        for (const KnownMember &member : directory.known(now)) {
            proto::RegistryMember &entry = *list.Add();
            entry.set_instance(member.instance.value());
            entry.set_data_centre(member.dataCentre.value());
            entry.set_heard_ms(clampedMs(member.silence));
        }
    }

    void notePresence(const InstanceId &sender, const proto::Presence &presence, TimePoint now)
    {
        directory.noteState(sender,
                            {.dataCentre = DataCentreId(presence.data_centre()),
                             .seat = presence.seat(),
                             .folder = presence.folder(),
                             .leads = presence.leads(),
                             .term = presence.term(),
                             .entries = presence.entries()},
                            now);
        for (const proto::RegistryMember &member : presence.known())
            directory.noteKnown(InstanceId(member.instance()), DataCentreId(member.data_centre()),
                                std::chrono::milliseconds(member.heard_ms()), now);
    }

    std::vector<SeatView> seatViews() const
    {
        std::vector<SeatView> views;
        for (const VoterView &voter : ledger->replica().voters())
            views.push_back({voter.instance.value(), voter.identity});
        return views;
    }

    SeatView seatView(const std::string &name) const
    {
        for (const SeatView &view : seatViews()) {
            if (view.seat == name)
                return view;
        }
        return {name, 0};
    }

    void sendToSeat(const std::string &to, std::string payload)
    {
        const std::vector<SeatClaim> claims = directory.claims(RuntimeClock::now());
        const SeatClaim *holder = holderOf(ledger ? seatView(to) : SeatView{to, 0}, claims);
        if (!holder)
            return;
        proto::RegistryMessage message;
        message.mutable_seat()->set_from_seat(seat);
        message.mutable_seat()->set_to_seat(to);
        message.mutable_seat()->set_ledger(std::move(payload));
        send(holder->instance, message);
    }

    void receiveSeatMessage(const InstanceId &sender, const proto::SeatMessage &message,
                            TimePoint now)
    {
        if (!ledger || message.to_seat() != seat)
            return;
        const std::vector<SeatClaim> claims = directory.claims(now);
        const SeatClaim *holder = holderOf(seatView(message.from_seat()), claims);
        if (holder && holder->instance == sender)
            ledger->onMessage(InstanceId(message.from_seat()), message.ledger(), now);
    }

    void assign(TimePoint now)
    {
        std::vector<SeatClaim> claims = directory.claims(now);
        for (const SeatClaim &claim : claims) {
            if (!claim.seat.empty() && claim.folder == seatView(claim.seat).admittedFolder)
                lastHolders[claim.seat] = claim.instance;
        }
        if (now < claimsDue)
            return;
        claims.push_back(
            {options.self, options.dataCentre, seat, ledger->replica().identity(), {}});
        const SeatChanges changes = assignSeats(seatViews(), claims, lastHolders);
        for (const SeatChange &change : changes.offers) {
            logInfo("seat_offered", {{"seat", change.seat}, {"to", change.instance.value()}});
            proto::RegistryMessage message;
            message.mutable_offer()->set_seat(change.seat);
            send(change.instance, message);
        }
        for (const SeatChange &change : changes.releases) {
            const auto claim
                = std::find_if(claims.begin(), claims.end(), [&](const SeatClaim &entry) {
                      return entry.instance == change.instance;
                  });
            proto::RegistryMessage message;
            message.mutable_release()->set_seat(change.seat);
            message.mutable_release()->set_folder(claim->folder);
            send(change.instance, message);
        }
    }

    void receiveOffer(const proto::SeatOffer &offer, TimePoint now)
    {
        if (!seat.empty() || !disk
            || std::find(seats.begin(), seats.end(), offer.seat()) == seats.end())
            return;
        takeSeat(offer.seat(), false);
        if (!seat.empty())
            startLedger(now);
        folderDue = now + FolderRetryInterval;
        presenceDue = {};
    }

    void receiveRelease(const proto::SeatRelease &release)
    {
        if (ledger && release.seat() == seat && release.folder() == ledger->replica().identity())
            releaseSeat();
    }

    // Declarations

    std::optional<InstanceId> leader(TimePoint now) const { return directory.leader(now); }

    void receiveDeclare(const ReceivedMessage &received, const proto::DeclareRequest &request)
    {
        declareHere({request.number(), request.content()},
                    [this, received, call = request.call()](bool accepted) {
                        proto::RegistryMessage message;
                        message.mutable_declare_answer()->set_call(call);
                        message.mutable_declare_answer()->set_accepted(accepted);
                        answer(received, message);
                    });
    }

    void declareHere(StoredContent declaration, DeclareHook done)
    {
        if (!ledger)
            return done(false);
        ledger->declare(std::move(declaration), std::move(done), RuntimeClock::now());
    }

    void receiveRead(const ReceivedMessage &received, const proto::ReadRequest &request)
    {
        readHere([this, received, call = request.call()](std::optional<StoredContent> newest) {
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

    void readHere(std::function<void(std::optional<StoredContent>)> done)
    {
        if (!leads())
            return done(std::nullopt);
        ledger->readNewest(std::move(done), RuntimeClock::now());
    }

    asio::awaitable<bool> declare(StoredContent declaration)
    {
        const auto self = shared_from_this();
        if (leads() || (ledger && declaration.number <= ledger->held().number)) {
            const auto accepted = std::make_shared<std::optional<bool>>();
            const auto done = std::make_shared<Timer>(executor, CallTimeout);
            declareHere(std::move(declaration), [accepted, done](bool value) {
                *accepted = value;
                done->cancel();
            });
            if (!*accepted)
                co_await waitFor(*done);
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

    asio::awaitable<std::optional<StoredContent>> readNewest()
    {
        const auto self = shared_from_this();
        if (leads()) {
            struct Read
            {
                bool answered = false;
                std::optional<StoredContent> newest;
            };
            const auto read = std::make_shared<Read>();
            const auto done = std::make_shared<Timer>(executor, CallTimeout);
            readHere([read, done](std::optional<StoredContent> newest) {
                *read = {true, std::move(newest)};
                done->cancel();
            });
            if (!read->answered)
                co_await waitFor(*done);
            co_return read->newest;
        }
        proto::RegistryMessage message;
        const std::uint64_t call = ++nextCall;
        message.mutable_read()->set_call(call);
        const auto answered = co_await callLeader(call, std::move(message));
        if (!answered || !answered->read_answer().certain())
            co_return std::nullopt;
        StoredContent newest{answered->read_answer().number(), answered->read_answer().content()};
        co_return newest;
    }

    static asio::awaitable<void> waitFor(Timer &timer)
    {
        boost::system::error_code cancelled; // Cancelling is how an answer ends the wait.
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
        send(*to, message);
        co_await waitFor(*waiting->timer);
        calls.erase(call);
        if (!waiting->answer)
            logWarning("leader_silent", {{"leader", to->value()}});
        co_return std::move(waiting->answer);
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
            entries[received.sender] = now;
        proto::RegistryMessage message;
        proto::FeedAnswer &feed = *message.mutable_feed_answer();
        feed.set_call(request.call());
        const std::size_t wholeBytes = wholeBytesFor(request);
        // Without both, the entry process asks another registry process at once.
        const bool supplied
            = wholeBytes == 0 || wholeAnswers.take(static_cast<double>(wholeBytes), now);
        feed.set_confirmed_ms(supplied ? confirmedMs(now) : NeverConfirmed);
        if (ledger && supplied) {
            feed.set_number(ledger->held().number);
            if (ledger->held().number > request.number() && !request.registry())
                feed.set_packed_content(packedDeclaration());
        }
        if (listing.digest != 0 && supplied) {
            feed.set_list_digest(listing.digest);
            feed.set_list_age_ms(clampedMs(now - listing.takenAt));
            if (listing.digest != request.list_digest())
                *feed.mutable_list() = listSince(request.list_digest());
        }
        if (now - board.reports().takenAt < LoadMemory && !request.registry())
            *feed.mutable_loads()
                = toProto(board.since(request.loads_epoch(), request.loads_version()), now);
        addKnown(*feed.mutable_known(), now);
        feed.set_entries(static_cast<std::uint32_t>(entries.size())
                         + directory.entriesElsewhere(now));
        answer(received, message);
    }

    /// Bytes of a whole list and declaration in the answer to @p request; small ones don't count.
    std::size_t wholeBytesFor(const proto::FeedRequest &request)
    {
        std::size_t bytes = 0;
        if (ledger && ledger->held().number > request.number() && !request.registry())
            bytes += packedDeclaration().size();
        if (listing.digest != 0 && listing.digest != request.list_digest())
            bytes += listSince(request.list_digest()).ByteSizeLong();
        return bytes < SmallAnswerBytes ? 0 : bytes;
    }

    /// What leads from the list with @p digest to the newest, made once for all who ask.
    const proto::BackendList &listSince(std::uint64_t digest)
    {
        const auto [made, isNew] = listAnswers.try_emplace(digest);
        if (isNew)
            made->second = toProto(history.since(digest));
        return made->second;
    }

    /// The declaration held, packed once for all who ask.
    const std::string &packedDeclaration()
    {
        if (packedNumber != ledger->held().number) {
            packedNumber = ledger->held().number;
            packed = packText(ledger->held().content);
        }
        return packed;
    }

    std::uint32_t confirmedMs(TimePoint now) const
    {
        if (!ledger)
            return NeverConfirmed;
        const std::optional<TimePoint> contact = ledger->replica().leaderContact();
        return contact && ledger->replica().leader() ? clampedMs(now - *contact) : NeverConfirmed;
    }

    asio::awaitable<void> pollListing()
    {
        const auto self = shared_from_this();
        while (!stopping) {
            const TimePoint began = RuntimeClock::now();
            const std::size_t processes = directory.contacts().size() + 1;
            if (reader.shortestInterval(processes) > SharedReadingInterval && !leads()
                && co_await takeLeadersListing()) {
                co_await sleepFor(ListAskInterval);
                continue;
            }
            Result<std::vector<ListedServer>> read = co_await reader.readAll();
            if (read) {
                const std::uint64_t digest = listingDigest(*read);
                takeListing({digest, began, std::move(read).value()});
            } else {
                logWarning("backend_list_unavailable",
                           {{"error", read.error().message()}, {"reason", read.message()}});
            }
            const bool alone = reader.shortestInterval(processes) > SharedReadingInterval;
            const std::size_t readers = alone ? 1 : processes;
            const Duration interval
                = std::max<Duration>({ListingShare * readers, ListingShortestInterval,
                                      reader.shortestInterval(readers)});
            co_await sleepFor(interval - std::min(interval, RuntimeClock::now() - began));
        }
    }

    void takeListing(BackendListing read)
    {
        if (read.digest != listing.digest) {
            logInfo("backend_list_changed",
                    {{"servers", read.servers.size()}, {"digest", read.digest}});
            listAnswers.clear();
        }
        history.add(std::move(read));
    }

    /// Takes over what the leader read; false when it doesn't answer or has no fresh list.
    asio::awaitable<bool> takeLeadersListing()
    {
        const TimePoint askedAt = RuntimeClock::now();
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
        const TimePoint takenAt = askedAt - std::chrono::milliseconds(feed.list_age_ms());
        if (askedAt - takenAt > OrderListAge || takenAt < listing.takenAt)
            co_return askedAt - listing.takenAt <= OrderListAge;
        if (feed.list_digest() == listing.digest) {
            takeListing({listing.digest, takenAt, listing.servers});
            co_return true;
        }
        const std::optional<ListingChange> change = fromProto(feed.list(), feed.list_digest());
        if (!change || (change->from != 0 && change->from != listing.digest))
            co_return false;
        takeListing({change->to, takenAt, applyChange(history.sorted(), *change)});
        co_return true;
    }

    asio::any_io_executor executor;
    RegistryOptions options;
    std::vector<std::string> seats;
    MemberDirectory directory;
    std::map<InstanceId, TimePoint> entries; ///< Entry processes and when they asked last.
    std::optional<Disk> disk;
    std::string seat; ///< Empty: a spare.
    bool everSeated = false;
    std::unique_ptr<DeclarationLedger> ledger;
    bool storageFailed = false;
    TimePoint folderDue{};
    TimePoint presenceDue{};
    TimePoint flushDue{};
    TimePoint offersDue{};
    TimePoint claimsDue{};
    TimePoint ordersDue{};
    StageKeeper stages;
    std::map<std::string, InstanceId> lastHolders;
    std::uint64_t packedNumber = 0;
    std::string packed;
    ListingHistory history;
    const BackendListing &listing = history.newest();
    std::map<std::uint64_t, proto::BackendList> listAnswers; ///< By the digest that was asked with.
    ListingReader reader;
    RateBound wholeAnswers{WholeBytesPerSecond, WholeBytesBurst};
    LoadBoard board;
    LoadView leaderLoads; ///< As the leader sends them.
    LoadRota rota{MostAskedInRound};
    unsigned loadRounds = 0;
    std::map<BackendId, EngineAnswer> engineAnswers;
    std::uint64_t nextCall;
    std::map<std::uint64_t, std::shared_ptr<WaitingCall>> calls;
    bool stopping = false;
    std::unique_ptr<Mesh> link; ///< Last, so that its thread ends first.
};

RegistryNode::RegistryNode(asio::any_io_executor executor, RegistryOptions options)
    : m_state(std::make_shared<State>(std::move(executor), std::move(options)))
{ }

RegistryNode::~RegistryNode()
{
    m_state->stopping = true;
    m_state->link.reset();
}

void RegistryNode::start()
{
    m_state->start();
}

void RegistryNode::setSeeds(std::vector<InstanceId> seeds)
{
    m_state->directory.setSeeds(std::move(seeds));
}

asio::awaitable<bool> RegistryNode::declare(StoredContent declaration)
{
    return m_state->declare(std::move(declaration));
}

asio::awaitable<std::optional<StoredContent>> RegistryNode::readNewest()
{
    return m_state->readNewest();
}

void RegistryNode::shutdown(std::function<void()> done)
{
    if (m_state->ledger)
        m_state->ledger->handOver(RuntimeClock::now());
    const auto timer = std::make_shared<Timer>(m_state->executor, HandOverTime);
    timer->async_wait(
        [timer, done = std::move(done)](const boost::system::error_code &) { done(); });
}

} // namespace gentianramp
