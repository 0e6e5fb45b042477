#include <algorithm>
#include <cmath>
#include <gentianramp/routing/limit_shares.hpp>
#include <random>
#include <unordered_map>

#include "gentianramp/routing/generated/limit.pb.h"

namespace gentianramp {
namespace {

constexpr double LendableShare = 0.75; ///< Of the base share.
constexpr std::size_t PeersPerRound = 3;
constexpr double DemandSmoothing = 0.3; ///< Weight of a lower demand; a higher one applies at once.
constexpr double Headroom = 1.1;
/// Loans that expire within this time are requested again; longer than the interval of about one
/// second between calls of requestShares().
constexpr Duration RenewalWindow = std::chrono::milliseconds(1500);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(10);
constexpr Duration AskTimeout = std::chrono::seconds(3);

double seconds(Duration value)
{
    return std::chrono::duration<double>(value).count();
}

Duration scaled(Duration value, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(value.count()) * factor));
}

struct Loan
{
    /// Lender or borrower; each peer has at most one loan per customer and direction.
    InstanceId peer;
    double share = 0;
    TimePoint expiresAt{};
};

double activeShare(const std::vector<Loan> &loans, TimePoint at)
{
    double sum = 0;
    for (const Loan &loan : loans) {
        if (loan.expiresAt > at)
            sum += loan.share;
    }
    return sum;
}

double activeShareOf(const std::vector<Loan> &loans, const InstanceId &peer, TimePoint at)
{
    const auto loan = std::ranges::find(loans, peer, &Loan::peer);
    return loan == loans.end() || loan->expiresAt <= at ? 0 : loan->share;
}

void replaceLoan(std::vector<Loan> &loans, Loan loan)
{
    std::erase_if(loans, [&loan](const Loan &old) { return old.peer == loan.peer; });
    loans.push_back(std::move(loan));
}

void dropEnded(std::vector<Loan> &loans, TimePoint now)
{
    std::erase_if(loans, [now](const Loan &loan) { return loan.expiresAt <= now; });
}

/// Token bucket that a single charge may overdraw; further charges wait until it has refilled.
struct Bucket
{
    double level = 0;

    void fill(double amount, double capacity) { level = std::min(level + amount, capacity); }
    void capAt(double capacity) { level = std::min(level, capacity); }
};

struct Account
{
    CustomerLimit limit;
    Bucket requests;
    Bucket tokens;
    TimePoint filledAt{};
    double wantedRequests = 0; ///< Since the last requestShares(), granted or not.
    double wantedTokens = 0;
    double demandShare = 0; ///< Smoothed demand as a share of the limit.
    std::vector<Loan> lent;
    std::vector<Loan> borrowed;
};

struct PendingAsk
{
    InstanceId peer;
    TimePoint askedAt{};
    std::unordered_map<CustomerId, double> shares;
};

Duration timeToFill(double missing, double perSecond)
{
    if (perSecond <= 0)
        return MaxRetryAfter;
    const double wait = missing / perSecond;
    return std::clamp(Duration(static_cast<Duration::rep>(std::min(wait, 10.0) * 1e9)),
                      MinRetryAfter, MaxRetryAfter);
}

} // namespace

struct LimitShares::State
{
    LimitSharesOptions options;
    TimePoint startedAt;
    TimePoint demandUpdatedAt;
    /// All other instances, shuffled so that instances ask in different orders.
    std::vector<InstanceId> peers;
    std::size_t nextPeer = 0;
    std::uint64_t lastNumber = 0;
    std::unordered_map<CustomerId, Account> accounts;
    std::unordered_map<std::uint64_t, PendingAsk> pendingAsks;

    double baseShare() const
    {
        return 1.0 / static_cast<double>(std::max<std::size_t>(1, options.instances.size()));
    }

    /// Time for which a lender withholds a lent share, with the clock drift added.
    Duration lenderLoanDuration() const
    {
        return scaled(options.loanDuration, 1 + options.clockDrift);
    }

    /// Whether loans that a previous incarnation gave may still be in use.
    bool startingUp(TimePoint now) const { return now < startedAt + lenderLoanDuration(); }

    double usable(const Account &account, TimePoint now) const
    {
        return ownShare(account, now) + activeShare(account.borrowed, now);
    }

    /// The smallest share that was usable at any moment between @p from and @p now. Between
    /// two refills loans only expire, because a refill precedes each new loan. So the own share was
    /// smallest at @p from, and the borrowed share is smallest at @p now.
    double usableThroughout(const Account &account, TimePoint from, TimePoint now) const
    {
        return ownShare(account, from) + activeShare(account.borrowed, now);
    }

    double ownShare(const Account &account, TimePoint at) const
    {
        const double lent
            = startingUp(at) ? LendableShare * baseShare() : activeShare(account.lent, at);
        return std::max(0.0, baseShare() - lent);
    }

    void refill(Account &account, TimePoint now) const;
    LimitResult takeFrom(Account &account, double amount, TimePoint now) const;
    void updateDemandShare(Account &account, double span) const;
    /// Share that this instance may lend now.
    double spare(const Account &account, TimePoint now) const;
    std::vector<InstanceId> nextPeers();
    /// Lends the spare part of the requested shares; returns the answer to the borrower.
    LimitMessage grant(const InstanceId &borrower, const proto::LimitAsk &ask, TimePoint now);
    void takeGrant(const InstanceId &lender, const proto::LimitGrant &grant, TimePoint now);
};

void LimitShares::State::refill(Account &account, TimePoint now) const
{
    const double span = seconds(std::max(Duration::zero(), now - account.filledAt));
    const double share = usableThroughout(account, account.filledAt, now);
    account.filledAt = std::max(account.filledAt, now);
    const double requestRate = share * account.limit.requestsPerSecond;
    const double tokenRate = share * account.limit.tokensPerSecond;
    account.requests.fill(requestRate * span, std::max(1.0, requestRate * seconds(Burst)));
    account.tokens.fill(tokenRate * span, tokenRate * seconds(Burst));
}

LimitResult LimitShares::State::takeFrom(Account &account, double amount, TimePoint now) const
{
    const double share = usable(account, now);
    if (account.limit.requestsPerSecond > 0 && account.requests.level < 1)
        return {false,
                timeToFill(1 - account.requests.level, share * account.limit.requestsPerSecond)};
    if (account.limit.tokensPerSecond > 0 && account.tokens.level <= 0)
        return {false, timeToFill(-account.tokens.level, share * account.limit.tokensPerSecond)};
    account.requests.level -= 1;
    account.tokens.level -= amount;
    return {true, {}};
}

void LimitShares::State::updateDemandShare(Account &account, double span) const
{
    double share = 0;
    if (account.limit.requestsPerSecond > 0)
        share = account.wantedRequests / span / account.limit.requestsPerSecond;
    if (account.limit.tokensPerSecond > 0)
        share = std::max(share, account.wantedTokens / span / account.limit.tokensPerSecond);
    const double gain = share > account.demandShare ? 1.0 : DemandSmoothing;
    account.demandShare += gain * (share - account.demandShare);
    account.wantedRequests = 0;
    account.wantedTokens = 0;
}

double LimitShares::State::spare(const Account &account, TimePoint now) const
{
    if (startingUp(now))
        return 0;
    const double reserved
        = std::max(baseShare() * (1 - LendableShare), account.demandShare * Headroom);
    return std::max(0.0, baseShare() - activeShare(account.lent, now) - reserved);
}

std::vector<InstanceId> LimitShares::State::nextPeers()
{
    std::vector<InstanceId> next;
    for (std::size_t i = 0; i < std::min(peers.size(), PeersPerRound); ++i)
        next.push_back(peers[nextPeer++ % peers.size()]);
    return next;
}

LimitMessage LimitShares::State::grant(const InstanceId &borrower, const proto::LimitAsk &ask,
                                       TimePoint now)
{
    proto::LimitPayload payload;
    payload.mutable_grant()->set_number(ask.number());
    for (const proto::LimitShare &asked : ask.shares()) {
        const auto found = accounts.find(CustomerId(asked.customer()));
        if (found == accounts.end() || !std::isfinite(asked.share()))
            continue;
        Account &account = found->second;
        // The borrower uses either its earlier loan or this one, never both; withholding the larger
        // of the two covers both cases.
        const double earlier = activeShareOf(account.lent, borrower, now);
        const double share = std::min(asked.share(), earlier + spare(account, now));
        if (share <= 0)
            continue;
        refill(account, now);
        replaceLoan(account.lent, {borrower, std::max(share, earlier), now + lenderLoanDuration()});
        account.requests.capAt(
            std::max(1.0, usable(account, now) * account.limit.requestsPerSecond * seconds(Burst)));
        account.tokens.capAt(usable(account, now) * account.limit.tokensPerSecond * seconds(Burst));
        proto::LimitShare *grantedShare = payload.mutable_grant()->add_shares();
        grantedShare->set_customer(asked.customer());
        grantedShare->set_share(share);
    }
    return {borrower, payload.SerializeAsString()};
}

void LimitShares::State::takeGrant(const InstanceId &lender, const proto::LimitGrant &grant,
                                   TimePoint now)
{
    const auto found = pendingAsks.find(grant.number());
    if (found == pendingAsks.end() || found->second.peer != lender)
        return;
    const PendingAsk asked = std::move(found->second);
    pendingAsks.erase(found);
    const TimePoint expiresAt
        = asked.askedAt + scaled(options.loanDuration, 1 - options.clockDrift);
    if (expiresAt <= now)
        return;
    for (const proto::LimitShare &grantedShare : grant.shares()) {
        const CustomerId customer(grantedShare.customer());
        const auto account = accounts.find(customer);
        const auto wanted = asked.shares.find(customer);
        if (account == accounts.end() || wanted == asked.shares.end()
            || !(grantedShare.share() > 0))
            continue;
        refill(account->second, now);
        replaceLoan(account->second.borrowed,
                    {lender, std::min(grantedShare.share(), wanted->second), expiresAt});
    }
}

LimitShares::LimitShares(LimitSharesOptions options, TimePoint now)
    : m_state(std::make_unique<State>())
{
    std::mt19937_64 random(options.seed);
    // Distinguishes the asks of this incarnation from those of former ones whose grants may still
    // arrive, also where all were started with the same seed.
    m_state->lastNumber = random() + static_cast<std::uint64_t>(now.time_since_epoch().count());
    m_state->peers = options.instances;
    std::erase(m_state->peers, options.self);
    std::ranges::shuffle(m_state->peers, random);
    m_state->options = std::move(options);
    m_state->startedAt = now;
    m_state->demandUpdatedAt = now;
}

LimitShares::~LimitShares() = default;

void LimitShares::configure(const std::vector<CustomerLimit> &limits, TimePoint now)
{
    std::unordered_map<CustomerId, Account> kept;
    for (const CustomerLimit &limit : limits) {
        if (limit.requestsPerSecond <= 0 && limit.tokensPerSecond <= 0)
            continue;
        const auto known = m_state->accounts.find(limit.customer);
        Account account = known == m_state->accounts.end() ? Account{.filledAt = now}
                                                           : std::move(known->second);
        account.limit = limit;
        kept.emplace(limit.customer, std::move(account));
    }
    m_state->accounts = std::move(kept);
}

LimitResult LimitShares::take(const CustomerId &customer, double tokens, TimePoint now)
{
    const auto found = m_state->accounts.find(customer);
    if (found == m_state->accounts.end())
        return {true, {}};
    Account &account = found->second;
    account.wantedRequests += 1;
    account.wantedTokens += tokens;
    m_state->refill(account, now);
    return m_state->takeFrom(account, tokens, now);
}

void LimitShares::refund(const CustomerId &customer, double tokens)
{
    const auto found = m_state->accounts.find(customer);
    if (found == m_state->accounts.end())
        return;
    found->second.requests.level += 1;
    found->second.tokens.level += tokens;
}

void LimitShares::settle(const CustomerId &customer, double tokens)
{
    const auto found = m_state->accounts.find(customer);
    if (found != m_state->accounts.end())
        found->second.tokens.level -= tokens;
}

std::vector<LimitMessage> LimitShares::requestShares(TimePoint now)
{
    State &state = *m_state;
    const double span = seconds(now - state.demandUpdatedAt);
    if (span <= 0)
        return {};
    state.demandUpdatedAt = now;
    std::erase_if(state.pendingAsks,
                  [now](const auto &asked) { return asked.second.askedAt + AskTimeout <= now; });

    std::vector<InstanceId> peers = state.nextPeers();
    std::unordered_map<CustomerId, double> missing;
    for (auto &[customer, account] : state.accounts) {
        state.refill(account, now);
        dropEnded(account.lent, now);
        dropEnded(account.borrowed, now);
        state.updateDemandShare(account, span);
        double remainingShare = state.baseShare() - activeShare(account.lent, now)
            + activeShare(account.borrowed, now + RenewalWindow);
        // A new loan replaces an earlier one of the same peer, so these do not count.
        for (const InstanceId &peer : peers)
            remainingShare -= activeShareOf(account.borrowed, peer, now + RenewalWindow);
        const double share = std::min(1.0, account.demandShare * Headroom) - remainingShare;
        if (share > 0 && !peers.empty())
            missing.emplace(customer, share / static_cast<double>(peers.size()));
    }
    if (missing.empty())
        return {};

    std::vector<LimitMessage> messages;
    for (InstanceId &peer : peers) {
        proto::LimitPayload payload;
        payload.mutable_ask()->set_number(++state.lastNumber);
        for (const auto &[customer, share] : missing) {
            proto::LimitShare *asked = payload.mutable_ask()->add_shares();
            asked->set_customer(customer.value());
            asked->set_share(share);
        }
        state.pendingAsks.emplace(state.lastNumber, PendingAsk{peer, now, missing});
        messages.push_back({std::move(peer), payload.SerializeAsString()});
    }
    return messages;
}

std::optional<LimitMessage> LimitShares::handle(const InstanceId &sender, std::string_view payload,
                                                TimePoint now)
{
    proto::LimitPayload parsed;
    if (!parsed.ParseFromArray(payload.data(), static_cast<int>(payload.size())))
        return std::nullopt;
    if (parsed.has_ask())
        return m_state->grant(sender, parsed.ask(), now);
    if (parsed.has_grant())
        m_state->takeGrant(sender, parsed.grant(), now);
    return std::nullopt;
}

double LimitShares::usableShare(const CustomerId &customer, TimePoint now) const
{
    const auto found = m_state->accounts.find(customer);
    return found == m_state->accounts.end() ? 0 : m_state->usable(found->second, now);
}

} // namespace gentianramp
