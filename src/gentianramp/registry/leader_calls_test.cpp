#include <gentianramp/registry/leader_calls.hpp>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

const InstanceId Former("a:1");
const InstanceId Successor("b:1");

} // namespace

// A call to a leader that had just been lost waited for its whole timeout, although the successor
// was known meanwhile.
Test(leader_calls, callGoesToTheSuccessorOnce)
{
    LeaderCalls calls;
    calls.add(1, Former, "read");
    cr_assert(calls.redirect(Former).empty());
    cr_assert(calls.redirect(Successor) == std::vector<std::string>{"read"});
    cr_assert(calls.redirect(Successor).empty());
}

Test(leader_calls, answeredCallIsNotSentAgain)
{
    LeaderCalls calls;
    calls.add(1, Former, "read");
    calls.add(2, Former, "declare");
    calls.remove(1);
    cr_assert(calls.redirect(Successor) == std::vector<std::string>{"declare"});
}
