#include <gentianramp/registry/declaration_ledger.hpp>

#include <gentianramp/core/log.hpp>
#include <gentianramp/declaration/declaration.hpp>

#include "gentianramp/registry/generated/registry.pb.h"

namespace gentianramp {

namespace {

/// Old declarations are never read, so that only the newest revision is kept. The log is short
/// because a declaration for the largest intended fleet takes some 300 KB and the process is
/// limited to 32 MB.
constexpr CompactionLimits LogLimits{.entries = 32, .bytes = 1024 * 1024};
constexpr ConfigurationStoreLimits StateLimits{.results = 256, .revisions = 1, .undoBytes = 0};

/// Entries before a snapshot that stay in memory. A voter that lacks more gets the snapshot, which
/// is not longer than an entry with a new declaration.
constexpr std::size_t RetainedEntries = 8;

ReplicaOptions withShortLog(ReplicaOptions options)
{
    options.retainedEntries = RetainedEntries;
    return options;
}

std::string encode(const RawDeclaration &declaration, const std::optional<UsageRecord> &usage)
{
    proto::StoredDeclaration stored;
    stored.set_number(declaration.number);
    stored.set_content(declaration.content);
    if (usage) {
        stored.mutable_usage()->set_decided(usage->decided);
        for (const UsageReport &report : usage->undelivered) {
            proto::StoredUsageReport &entry = *stored.mutable_usage()->add_undelivered();
            entry.set_window(report.window);
            entry.set_body(report.body);
        }
    }
    return stored.SerializeAsString();
}

struct StoredState
{
    RawDeclaration declaration;
    std::optional<UsageRecord> usage;
};

StoredState decode(const std::string &bytes)
{
    proto::StoredDeclaration stored;
    if (!stored.ParseFromString(bytes)) {
        logError("stored_declaration_unreadable", {{"bytes", bytes.size()}});
        return {};
    }
    StoredState state{{stored.number(), std::move(*stored.mutable_content())}, std::nullopt};
    if (stored.has_usage()) {
        state.usage.emplace().decided = stored.usage().decided();
        for (const proto::StoredUsageReport &report : stored.usage().undelivered())
            state.usage->undelivered.push_back({report.window(), report.body()});
    }
    return state;
}

} // namespace

DeclarationLedger::DeclarationLedger(ReplicaOptions options, DataFolder dataFolder,
                                     DeclarationHooks hooks)
    : m_hooks(std::move(hooks))
    , m_incarnation(options.seed)
    , m_driver(withShortLog(std::move(options)), std::move(dataFolder),
               {.send = m_hooks.send,
                .decided = [this](const CommandId &command,
                                  const CommandAnswer &answer) { onDecided(command, answer); },
                .accepted =
                    [this](const AcceptedConfiguration &accepted) {
                        StoredState state = decode(accepted.bytes);
                        const bool isNew = state.declaration.number != m_committed.number;
                        m_committed = std::move(state.declaration);
                        m_committedUsage = std::move(state.usage);
                        if (isNew)
                            m_hooks.inForce(m_committed);
                    },
                .leadership = [this](bool leads, Term term) { onLeadership(leads, term); },
                .storageFailed = m_hooks.storageFailed,
                .persist = makePersistHook()},
               LogLimits, StateLimits)
{ }

Result<bool> DeclarationLedger::start(TimePoint now)
{
    return m_driver.start(now);
}

std::uint64_t DeclarationLedger::storedBytes() const
{
    return m_driver.store().snapshot().size() + m_driver.logBytes();
}

void DeclarationLedger::onMessage(const InstanceId &fromSeat, std::string_view payload,
                                  TimePoint now)
{
    m_driver.onMessage(fromSeat, payload, now);
    completePending();
    proposeNext(now);
}

void DeclarationLedger::tick(TimePoint now)
{
    m_driver.tick(now);
    completePending();
    proposeNext(now);
}

void DeclarationLedger::declare(RawDeclaration declaration, DeclareHook done, TimePoint now)
{
    if (declaration.number > MaxDeclarationNumber)
        return done(false);
    if (!isNewerDeclaration(declaration.number, m_committed.number))
        return done(true);
    if (!leads())
        return done(false);
    m_pending.push_back({std::move(declaration), std::nullopt, std::move(done)});
    proposeNext(now);
    completePending();
}

void DeclarationLedger::recordUsage(UsageRecord record, DeclareHook done, TimePoint now)
{
    if (!leads())
        return done(false);
    m_pending.push_back({std::nullopt, std::move(record), std::move(done)});
    proposeNext(now);
    completePending();
}

void DeclarationLedger::readNewest(std::function<void(std::optional<RawDeclaration>)> done,
                                   TimePoint now)
{
    m_driver.confirmLeadership(
        [this, done = std::move(done)](bool confirmed) {
            done(confirmed ? std::optional(m_committed) : std::nullopt);
        },
        now);
}

/// Completes and proposes declarations as soon as a write has ended.
PersistHook DeclarationLedger::makePersistHook()
{
    if (!m_hooks.persist)
        return {};
    return
        [this](std::function<std::error_code()> write, std::function<void(std::error_code)> done) {
            m_hooks.persist(std::move(write),
                            [this, done = std::move(done),
                             alive = std::weak_ptr(m_alive)](std::error_code error) {
                                if (alive.expired())
                                    return;
                                done(error);
                                completePending();
                                proposeNext(RuntimeClock::now());
                            });
        };
}

/// Proposes one declaration at a time, so that each is based on the revision of the previous one.
void DeclarationLedger::proposeNext(TimePoint now)
{
    if (m_pending.empty() || m_proposed || !leads())
        return;
    ConfigurationProposal proposal;
    proposal.command
        = CommandId(std::to_string(m_incarnation) + '.' + std::to_string(++m_proposalCount));
    proposal.base = m_driver.store().revision();
    const Pending &change = m_pending.front();
    proposal.configuration = encode(change.declaration.value_or(m_committed),
                                    change.usage ? change.usage : m_committedUsage);
    m_proposed = proposal.command;
    if (!m_driver.propose(proposal, now))
        m_proposed.reset();
}

void DeclarationLedger::onDecided(const CommandId &command, const CommandAnswer &)
{
    // An accepted declaration is already in m_committed; a refused one is proposed again on the
    // current revision. With a single voter, this is called from within propose().
    if (m_proposed == command)
        m_proposed.reset();
}

void DeclarationLedger::onLeadership(bool leads, Term term)
{
    if (!leads) {
        m_proposed.reset();
        std::deque<Pending> pending;
        pending.swap(m_pending);
        for (const Pending &entry : pending)
            entry.done(false);
    }
    m_hooks.leadership(leads, term);
}

bool DeclarationLedger::isSettled(const Pending &change) const
{
    if (change.declaration)
        return !isNewerDeclaration(change.declaration->number, m_committed.number);
    return m_committedUsage && change.usage->decided <= m_committedUsage->decided;
}

/// Completes the pending changes of which at least as much is committed.
void DeclarationLedger::completePending()
{
    std::deque<Pending> kept;
    std::deque<Pending> settled;
    for (Pending &entry : m_pending)
        (isSettled(entry) ? settled : kept).push_back(std::move(entry));
    m_pending = std::move(kept);
    for (const Pending &entry : settled)
        entry.done(true);
}

} // namespace gentianramp
