#include <array>
#include <gentianramp/core/log.hpp>
#include <gentianramp/core/thread.hpp>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

/// Standard output of a child process that runs @p program.
std::string outputOfChild(void (*program)())
{
    std::array<int, 2> output{};
    cr_assert_eq(pipe(output.data()), 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(output[1], STDOUT_FILENO);
        program();
        _exit(0);
    }
    close(output[1]);
    std::string text;
    std::array<char, 4096> block{};
    for (ssize_t count = 0; (count = read(output[0], block.data(), block.size())) > 0;)
        text.append(block.data(), static_cast<std::size_t>(count));
    close(output[0]);
    waitpid(child, nullptr, 0);
    return text;
}

} // namespace

Test(log, anExceptionThatEndsTheProcessIsLoggedAfterTheLinesThatAreHeld)
{
    const std::string text = outputOfChild([]() {
        startLogging("program", LogTarget::StandardOutput);
        logInfo("first");
        logInfo("held");
        std::thread([] {
            setThreadName("mesh");
            throw std::runtime_error("Interrupted system call");
        }).join();
    });
    const auto held = text.find("event=held");
    const auto reason = text.find(
        "level=E event=process_aborted thread=mesh reason=\"Interrupted system call\"\n");
    cr_assert_neq(reason, std::string::npos, "%s", text.c_str());
    cr_assert_lt(held, reason);
}
