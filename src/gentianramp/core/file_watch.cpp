#include <gentianramp/core/file_watch.hpp>

#include <fstream>
#include <sstream>
#include <sys/stat.h>

namespace gentianramp {

struct FileWatch::State : std::enable_shared_from_this<FileWatch::State>
{
    State(const boost::asio::any_io_executor &executor, std::string file, std::string content,
          Hook given, Duration chosen)
        : path(std::move(file))
        , known(std::move(content))
        , hook(std::move(given))
        , interval(chosen)
        , timer(executor)
    { }

    /// Size and time of the last change; reading the file at every look would cost more.
    std::pair<std::int64_t, std::int64_t> stamp() const
    {
        struct stat status
        { };
        if (stat(path.c_str(), &status) != 0)
            return {};
        return {status.st_size, status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec};
    }

    void check(bool always)
    {
        const auto current = stamp();
        if (!always && current == seen)
            return;
        seen = current;
        const std::string content = readWholeFile(path);
        if (content.empty() || content == known)
            return;
        known = content;
        hook(content);
    }

    void wait()
    {
        timer.expires_after(interval);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
            const auto self = weak.lock();
            if (cancelled || !self)
                return;
            self->check(false);
            self->wait();
        });
    }

    std::string path;
    std::string known;
    Hook hook;
    Duration interval;
    Timer timer;
    std::pair<std::int64_t, std::int64_t> seen;
};

FileWatch::FileWatch(const boost::asio::any_io_executor &executor, std::string path,
                     std::string known, Hook hook, Duration interval)
    : m_state(std::make_shared<State>(executor, std::move(path), std::move(known), std::move(hook),
                                      interval))
{
    m_state->wait();
}

FileWatch::~FileWatch()
{
    m_state->timer.cancel();
}

void FileWatch::check()
{
    m_state->check(true);
}

std::string readWholeFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream content;
    content << in.rdbuf();
    return content.str();
}

} // namespace gentianramp
