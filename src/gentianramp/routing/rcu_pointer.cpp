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
    void touch() const noexcept { }
};

void registerThread() noexcept
{
    thread_local const ThreadRegistration registration;
    registration.touch();
}

#if defined(__SANITIZE_THREAD__)
// ThreadSanitizer does not see the barriers inside liburcu.
char gracePeriod = 0;
void noteReadEnd() noexcept
{
    __tsan_release(&gracePeriod);
}
void noteGracePeriod() noexcept
{
    __tsan_acquire(&gracePeriod);
}
#else
void noteReadEnd() noexcept { }
void noteGracePeriod() noexcept { }
#endif

} // namespace

RcuReadGuard::RcuReadGuard() noexcept
{
    registerThread();
    urcu_memb_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
    noteReadEnd();
    urcu_memb_read_unlock();
}

void rcuSynchronize() noexcept
{
    urcu_memb_synchronize_rcu();
    noteGracePeriod();
}

} // namespace gentianramp
