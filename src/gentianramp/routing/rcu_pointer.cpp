#include <gentianramp/routing/rcu_pointer.hpp>
#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *address);
extern "C" void __tsan_release(void *address);
#endif

namespace gentianramp {
namespace {

class ThreadRegistration
{
public:
    ThreadRegistration() { urcu_memb_register_thread(); }
    ~ThreadRegistration() { urcu_memb_unregister_thread(); }
    ThreadRegistration(const ThreadRegistration &) = delete;
    ThreadRegistration &operator=(const ThreadRegistration &) = delete;
    /// Does nothing; a use of the thread_local object makes the compiler construct it.
    void ensureConstructed() const noexcept { }
};

void registerThread() noexcept
{
    thread_local const ThreadRegistration registration;
    registration.ensureConstructed();
}

#if defined(__SANITIZE_THREAD__)
// ThreadSanitizer does not see the barriers inside liburcu.
char gracePeriod = 0;
void annotateReadEnd() noexcept
{
    __tsan_release(&gracePeriod);
}
void annotateGracePeriod() noexcept
{
    __tsan_acquire(&gracePeriod);
}
#else
void annotateReadEnd() noexcept { }
void annotateGracePeriod() noexcept { }
#endif

} // namespace

RcuReadGuard::RcuReadGuard() noexcept
{
    registerThread();
    urcu_memb_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
    annotateReadEnd();
    urcu_memb_read_unlock();
}

void rcuSynchronize() noexcept
{
    urcu_memb_synchronize_rcu();
    annotateGracePeriod();
}

} // namespace gentianramp
