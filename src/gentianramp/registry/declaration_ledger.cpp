#include <gentianramp/registry/declaration_ledger.hpp>

#include <gentianramp/core/log.hpp>

#include "gentianramp/registry/generated/registry.pb.h"

namespace gentianramp {

namespace {

/// A declaration replaces the one before it and nobody asks for older ones, so none are kept; the
/// log is short because a declaration of the target size has some 300 KB and a process 32 MB.
constexpr CompactionLimits LogLimits{.entries = 32, .bytes = 1024 * 1024};
constexpr ConfigurationStoreLimits StateLimits{.results = 256, .revisions = 1, .undoBytes = 0};

std::string encode(const StoredContent &declaration)
{
    proto::StoredDeclaration stored;
    stored.set_number(declaration.number);
    stored.set_content(declaration.content);
    return stored.SerializeAsString();
}

StoredContent decode(const std::string &bytes)
{
    proto::StoredDeclaration stored;
    if (!stored.ParseFromString(bytes)) {
        logError("stored_declaration_unreadable", {{"bytes", bytes.size()}});
        return {};
    }
    return {stored.number(), std::move(*stored.mutable_content())};
}

} // namespace

DeclarationLedger::DeclarationLedger(ReplicaOptions options, DataFolder disk,
                                     DeclarationHooks hooks)
    : m_hooks(std::move(hooks))
    , m_life(options.seed)
    , m_driver(std::move(options), std::move(disk),
               {.send = m_hooks.send,
                .decided = [this](const CommandId &command,
                                  const CommandAnswer &answer) { onDecided(command, answer); },
                .accepted =
                    [this](const AcceptedConfiguration &accepted) {
                        m_held = decode(accepted.bytes);
                        m_hooks.inForce(m_held);
                    },
                .leadership = [this](bool leads, Term term) { onLeadership(leads, term); },
                .storageFailed = m_hooks.storageFailed},
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
    settleHeld();
    proposeNext(now);
}

void DeclarationLedger::tick(TimePoint now)
{
    m_driver.tick(now);
    settleHeld();
    proposeNext(now);
}

void DeclarationLedger::declare(StoredContent declaration, DeclareHook done, TimePoint now)
{
    if (declaration.number <= m_held.number)
        return done(true);
    if (!leads())
        return done(false);
    m_pending.push_back({std::move(declaration), std::move(done)});
    proposeNext(now);
    settleHeld();
}

void DeclarationLedger::readNewest(std::function<void(std::optional<StoredContent>)> done,
                                   TimePoint now)
{
    m_driver.confirmLeadership(
        [this, done = std::move(done)](bool confirmed) {
            done(confirmed ? std::optional(m_held) : std::nullopt);
        },
        now);
}

/// Proposes one declaration at a time, so that each is made on the one before it.
void DeclarationLedger::proposeNext(TimePoint now)
{
    if (m_pending.empty() || m_proposed || !leads())
        return;
    ConfigurationProposal proposal;
    proposal.command = CommandId(std::to_string(m_life) + '.' + std::to_string(++m_proposals));
    proposal.base = m_driver.store().revision();
    proposal.configuration = encode(m_pending.front().declaration);
    m_proposed = proposal.command;
    if (!m_driver.propose(proposal, now))
        m_proposed.reset();
}

void DeclarationLedger::onDecided(const CommandId &command, const CommandAnswer &)
{
    // An accepted declaration is held from now on; a refused one is proposed again on the
    // present revision. A single voter decides inside propose().
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

/// Answers the pending declarations whose number, or a higher one, is held.
void DeclarationLedger::settleHeld()
{
    std::deque<Pending> kept;
    std::deque<Pending> settled;
    for (Pending &entry : m_pending)
        (entry.declaration.number <= m_held.number ? settled : kept).push_back(std::move(entry));
    m_pending = std::move(kept);
    for (const Pending &entry : settled)
        entry.done(true);
}

} // namespace gentianramp
