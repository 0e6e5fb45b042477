#include <gentianramp/ledger/data_folder.hpp>

#include <cerrno>
#include <fcntl.h>
#include <map>
#include <memory>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace gentianramp {

namespace {

namespace fs = std::filesystem;

constexpr const char *LockName = "lock";
constexpr const char *TemporarySuffix = ".tmp";
constexpr mode_t FileMode = 0640;

std::error_code lastError()
{
    return {errno, std::generic_category()};
}

/// Owns a file descriptor.
class Descriptor
{
public:
    explicit Descriptor(int fd = -1)
        : m_fd(fd)
    { }
    Descriptor(Descriptor &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    { }
    Descriptor &operator=(Descriptor &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~Descriptor()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    int fd() const { return m_fd; }
    bool valid() const { return m_fd >= 0; }

private:
    int m_fd;
};

/// Repeats a system call that a signal interrupts.
template <typename Call>
auto repeatIfInterrupted(const Call &call)
{
    for (;;) {
        const auto result = call();
        if (result >= 0 || errno != EINTR)
            return result;
    }
}

Descriptor openFile(const fs::path &path, int flags)
{
    return Descriptor(
        repeatIfInterrupted([&] { return ::open(path.c_str(), flags | O_CLOEXEC, FileMode); }));
}

/// Makes the content of a file or folder durable.
std::error_code syncAll(int fd)
{
    return repeatIfInterrupted([&] { return ::fsync(fd); }) == 0 ? std::error_code{} : lastError();
}

std::error_code writeAll(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written
            = repeatIfInterrupted([&] { return ::write(fd, bytes.data(), bytes.size()); });
        if (written < 0)
            return lastError();
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

/// A locked data folder and the descriptors of the files that are open for appending.
class Folder
{
public:
    Folder(fs::path path, Descriptor lock)
        : m_path(std::move(path))
        , m_lock(std::move(lock))
    { }

    Result<std::vector<std::string>> list() const
    {
        std::vector<std::string> names;
        std::error_code error;
        for (const auto &item : fs::directory_iterator(m_path, error)) {
            const std::string name = item.path().filename().string();
            if (name != LockName)
                names.push_back(name);
        }
        if (error)
            return error;
        return names;
    }

    Result<std::string> read(const std::string &name) const
    {
        const Descriptor file = openFile(m_path / name, O_RDONLY);
        if (!file.valid())
            return lastError();
        std::string bytes;
        std::string block(64 * 1024, '\0');
        while (true) {
            const ssize_t count = repeatIfInterrupted(
                [&] { return ::read(file.fd(), block.data(), block.size()); });
            if (count < 0)
                return lastError();
            if (count == 0)
                return bytes;
            bytes.append(block.data(), static_cast<std::size_t>(count));
        }
    }

    std::error_code append(const std::string &name, std::string_view bytes)
    {
        Descriptor &file = m_open[name];
        if (!file.valid())
            file = openFile(m_path / name, O_WRONLY | O_APPEND);
        if (!file.valid())
            return lastError();
        return writeAll(file.fd(), bytes);
    }

    std::error_code sync(const std::string &name)
    {
        const auto file = m_open.find(name);
        if (file == m_open.end() || !file->second.valid())
            return std::make_error_code(std::errc::bad_file_descriptor);
        const int fd = file->second.fd();
        return repeatIfInterrupted([&] { return ::fdatasync(fd); }) == 0 ? std::error_code{}
                                                                         : lastError();
    }

    std::error_code replace(const std::string &name, std::string_view bytes)
    {
        m_open.erase(name);
        const fs::path temporary = m_path / (name + TemporarySuffix);
        {
            const Descriptor file = openFile(temporary, O_WRONLY | O_CREAT | O_TRUNC);
            if (!file.valid())
                return lastError();
            if (const std::error_code error = writeAll(file.fd(), bytes))
                return error;
            if (const std::error_code error = syncAll(file.fd()))
                return error;
        }
        if (::rename(temporary.c_str(), (m_path / name).c_str()) != 0)
            return lastError();
        return syncFolder();
    }

    std::error_code remove(const std::string &name)
    {
        m_open.erase(name);
        if (::unlink((m_path / name).c_str()) != 0)
            return lastError();
        return syncFolder();
    }

private:
    std::error_code syncFolder() const
    {
        const Descriptor folder = openFile(m_path, O_RDONLY | O_DIRECTORY);
        return folder.valid() ? syncAll(folder.fd()) : lastError();
    }

    fs::path m_path;
    Descriptor m_lock;
    std::map<std::string, Descriptor> m_open;
};

} // namespace

Result<DataFolder> openFolder(const std::filesystem::path &folder)
{
    std::error_code error;
    fs::create_directories(folder, error);
    if (error)
        return {error, "cannot create data folder " + folder.string()};
    Descriptor lock = openFile(folder / LockName, O_RDWR | O_CREAT);
    if (!lock.valid())
        return {lastError(), "cannot open the lock file of data folder " + folder.string()};
    if (::flock(lock.fd(), LOCK_EX | LOCK_NB) != 0)
        return {lastError(), "another process uses data folder " + folder.string()};
    const auto state = std::make_shared<Folder>(folder, std::move(lock));
    DataFolder operations;
    operations.list = [state] { return state->list(); };
    operations.read = [state](const std::string &name) { return state->read(name); };
    operations.append = [state](const std::string &name, std::string_view bytes) {
        return state->append(name, bytes);
    };
    operations.sync = [state](const std::string &name) { return state->sync(name); };
    operations.replace = [state](const std::string &name, std::string_view bytes) {
        return state->replace(name, bytes);
    };
    operations.remove = [state](const std::string &name) { return state->remove(name); };
    return operations;
}

} // namespace gentianramp
