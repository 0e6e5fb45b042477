#include <cerrno>
#include <cstdarg>
#include <fcntl.h>
#include <gentianramp/ledger/data_folder.hpp>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace gentianramp;

namespace {

/// True while every second call is interrupted.
bool interrupting = false;

bool interruptsNext()
{
    static bool interrupts = false;
    interrupts = interrupting && !interrupts;
    if (interrupts)
        errno = EINTR;
    return interrupts;
}

} // namespace

// The linker sends the calls of the data folder through these functions (--wrap) and prescribes
// their names.
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming,cppcoreguidelines-pro-type-vararg)
extern "C" {
int __real_open(const char *path, int flags, ...);
int __real_fsync(int fd);
int __real_fdatasync(int fd);

int __wrap_open(const char *path, int flags, ...)
{
    va_list arguments;
    va_start(arguments, flags);
    const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return interruptsNext() ? -1 : __real_open(path, flags, mode);
}

int __wrap_fsync(int fd)
{
    return interruptsNext() ? -1 : __real_fsync(fd);
}

int __wrap_fdatasync(int fd)
{
    return interruptsNext() ? -1 : __real_fdatasync(fd);
}
}
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming,cppcoreguidelines-pro-type-vararg)

// Guards against a process that gives up its disk, and ends, because a signal interrupted a write.
Test(data_folder, anInterruptedCallIsNoFailureOfTheDisk)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path()
        / ("gentianramp-data-folder-test-" + std::to_string(::getpid()));
    interrupting = true;
    const Result<DataFolder> folder = openFolder(path);
    cr_assert(folder, "%s", folder.message().c_str());
    cr_assert_not(folder->replace("log", "first "));
    cr_assert_not(folder->append("log", "second"));
    cr_assert_not(folder->sync("log"));
    const Result<std::string> content = folder->read("log");
    cr_assert(content, "%s", content.message().c_str());
    cr_assert(*content == "first second");
    cr_assert_not(folder->remove("log"));
    std::filesystem::remove_all(path);
}
