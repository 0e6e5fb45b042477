#include <gentianramp/http/memory_budget.hpp>

#include <algorithm>
#include <iterator>
#include <mutex>
#include <set>
#include <tuple>
#include <unordered_map>

namespace gentianramp {

namespace {

/// Progress is counted in windows of this length.
constexpr Duration ProgressWindow = std::chrono::milliseconds(500);
/// A request with less progress gives its room up to one that is being read.
constexpr double StalledProgress = 0.5;
/// Of the bound; answers together may hold this part in addition to it.
constexpr std::size_t AnswerShareDivisor = 4;

double progress(const ReadingUse &use)
{
    return static_cast<double>(use.recentBytes) / static_cast<double>(use.bytes);
}

} // namespace

std::vector<std::uint64_t> leasesToRevoke(std::span<const ReadingUse> reading, RoomFor whom,
                                          std::size_t missing)
{
    std::vector<ReadingUse> candidates;
    std::copy_if(reading.begin(), reading.end(), std::back_inserter(candidates),
                 [&](const ReadingUse &use) {
                     return use.bytes > 0
                         && (whom == RoomFor::WholeRequest || progress(use) < StalledProgress);
                 });
    std::sort(candidates.begin(), candidates.end(),
              [](const ReadingUse &left, const ReadingUse &right) {
                  return std::tuple(progress(left), left.progressAt, left.number)
                      < std::tuple(progress(right), right.progressAt, right.number);
              });
    std::vector<std::uint64_t> numbers;
    std::size_t freed = 0;
    for (const ReadingUse &use : candidates) {
        if (freed >= missing)
            break;
        numbers.push_back(use.number);
        freed += use.bytes;
    }
    if (freed < missing)
        numbers.clear();
    return numbers;
}

struct MemoryBudgetState
{
    struct Entry
    {
        std::size_t bytes = 0;
        TimePoint windowStartedAt{};
        std::size_t bytesInWindow = 0;
        std::size_t bytesInWindowBefore = 0;
        TimePoint progressAt{};
        bool isReading = false;
        bool isAnswer = false;
        bool isRevoked = false;
        std::function<void()> revokedHook;
    };

    explicit MemoryBudgetState(std::size_t bound)
        : maxBytes(bound)
    { }

    static void advanceWindow(Entry &entry, TimePoint now)
    {
        const Duration passed = now - entry.windowStartedAt;
        if (passed < ProgressWindow)
            return;
        entry.bytesInWindowBefore = passed < 2 * ProgressWindow ? entry.bytesInWindow : 0;
        entry.bytesInWindow = 0;
        entry.windowStartedAt = now;
    }

    static ReadingUse use(std::uint64_t number, const Entry &entry)
    {
        return {number, entry.bytes,
                std::min(entry.bytesInWindow + entry.bytesInWindowBefore, entry.bytes),
                entry.progressAt};
    }

    /// Frees @p missing bytes for @p growing; false when they can't be freed. The hooks to call are
    /// added to @p hooks.
    bool makeRoom(std::uint64_t growing, std::size_t missing, TimePoint now,
                  std::vector<std::function<void()>> &hooks)
    {
        std::vector<ReadingUse> reading;
        for (auto &[number, entry] : entries) {
            if (!entry.isReading || entry.isRevoked || number == growing)
                continue;
            advanceWindow(entry, now);
            reading.push_back(use(number, entry));
        }
        const std::vector<std::uint64_t> revoked = leasesToRevoke(
            reading,
            entries.at(growing).isReading ? RoomFor::ReadingRequest : RoomFor::WholeRequest,
            missing);
        for (const std::uint64_t number : revoked) {
            Entry &entry = entries.at(number);
            heldBytes -= entry.bytes;
            entry.bytes = 0;
            entry.isRevoked = true;
            hooks.push_back(std::move(entry.revokedHook));
        }
        return !revoked.empty();
    }

    /// Whether an answer gets @p bytes although the bound is reached. Requests that were read wait
    /// for their answers, and answers for each other's room; none would end otherwise.
    bool mayExceed(std::uint64_t number, std::size_t bytes) const
    {
        if (!entries.at(number).isAnswer)
            return false;
        return *answers.begin() == number || heldByAnswers + bytes <= maxBytes / AnswerShareDivisor;
    }

    bool grow(std::uint64_t number, std::size_t bytes, TimePoint now,
              std::vector<std::function<void()>> &hooks)
    {
        const std::lock_guard lock(mutex);
        Entry &entry = entries.at(number);
        if (entry.isRevoked)
            return false;
        advanceWindow(entry, now);
        const bool isAlone = heldBytes == entry.bytes;
        const bool fits = bytes <= maxBytes && heldBytes <= maxBytes - bytes;
        if (!fits && !isAlone && !mayExceed(number, bytes)) {
            const std::size_t missing = heldBytes + bytes - maxBytes;
            if (!makeRoom(number, missing, now, hooks)) {
                entry.bytesInWindow = entry.bytes;
                entry.progressAt = now;
                return false;
            }
        }
        entry.bytes += bytes;
        entry.bytesInWindow += bytes;
        entry.progressAt = now;
        heldBytes += bytes;
        heldByAnswers += entry.isAnswer ? bytes : 0;
        return true;
    }

    void remove(std::uint64_t number)
    {
        const std::lock_guard lock(mutex);
        const auto entry = entries.find(number);
        heldBytes -= entry->second.bytes;
        if (entry->second.isAnswer) {
            heldByAnswers -= entry->second.bytes;
            answers.erase(number);
        }
        entries.erase(entry);
    }

    std::size_t maxBytes;
    mutable std::mutex mutex;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::set<std::uint64_t> answers; ///< Numbers of their leases, the oldest first.
    std::size_t heldBytes = 0;
    std::size_t heldByAnswers = 0; ///< Of heldBytes.
    std::uint64_t lastNumber = 0;
};

MemoryLease::~MemoryLease()
{
    m_budget->remove(m_number);
}

bool MemoryLease::grow(std::size_t bytes, TimePoint now)
{
    std::vector<std::function<void()>> hooks;
    const bool grown = m_budget->grow(m_number, bytes, now, hooks);
    for (const std::function<void()> &hook : hooks)
        hook();
    return grown;
}

bool MemoryLease::keep()
{
    const std::lock_guard lock(m_budget->mutex);
    MemoryBudgetState::Entry &entry = m_budget->entries.at(m_number);
    entry.isReading = false;
    return !entry.isRevoked;
}

bool MemoryLease::isRevoked() const
{
    const std::lock_guard lock(m_budget->mutex);
    return m_budget->entries.at(m_number).isRevoked;
}

std::size_t MemoryLease::bytes() const
{
    const std::lock_guard lock(m_budget->mutex);
    return m_budget->entries.at(m_number).bytes;
}

MemoryBudget::MemoryBudget(std::size_t maxBytes)
    : m_state(std::make_shared<MemoryBudgetState>(maxBytes))
{ }

std::shared_ptr<MemoryLease> MemoryBudget::requestLease(std::function<void()> revokedHook)
{
    const std::lock_guard lock(m_state->mutex);
    const std::uint64_t number = ++m_state->lastNumber;
    MemoryBudgetState::Entry &entry = m_state->entries[number];
    entry.isReading = true;
    entry.revokedHook = std::move(revokedHook);
    return std::make_shared<MemoryLease>(m_state, number);
}

std::shared_ptr<MemoryLease> MemoryBudget::answerLease()
{
    const std::lock_guard lock(m_state->mutex);
    const std::uint64_t number = ++m_state->lastNumber;
    m_state->entries[number].isAnswer = true;
    m_state->answers.insert(number);
    return std::make_shared<MemoryLease>(m_state, number);
}

std::size_t MemoryBudget::maxBytes() const
{
    return m_state->maxBytes;
}

std::size_t MemoryBudget::heldBytes() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->heldBytes;
}

} // namespace gentianramp
