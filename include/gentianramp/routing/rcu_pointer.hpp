#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace gentianramp {

/// Read-side critical section of read-copy-update on this thread. A coroutine must not suspend
/// inside it.
class RcuReadGuard
{
public:
    RcuReadGuard() noexcept;
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/// Waits until every read section that began before this call has ended. Not to be called inside
/// a read section.
void rcuSynchronize() noexcept;

/// Pointer to an immutable value that is read without locks.
template <typename T>
class RcuPointer
{
public:
    explicit RcuPointer(std::unique_ptr<const T> value)
        : m_value(value.release())
    { }
    ~RcuPointer() { reclaim(m_value.load(std::memory_order_acquire)); }
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    /// The current value; valid until @p guard ends.
    const T &read([[maybe_unused]] const RcuReadGuard &guard) const noexcept
    {
        return *m_value.load(std::memory_order_acquire);
    }

    /// Replaces the value, waits for readers of the old one and deletes it. Callers serialise their
    /// calls.
    void publish(std::unique_ptr<const T> value)
    {
        reclaim(m_value.exchange(value.release(), std::memory_order_acq_rel));
    }

private:
    static void reclaim(const T *old)
    {
        rcuSynchronize();
        const std::unique_ptr<const T> owner(old);
    }

    std::atomic<const T *> m_value;
};

} // namespace gentianramp
