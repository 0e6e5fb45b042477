#include <gentianramp/core/log.hpp>

#include "log_buffer.hpp"

#include <cstdlib>
#include <ctime>
#include <exception>
#include <fcntl.h>
#include <gentianramp/core/clock.hpp>
#include <gentianramp/core/thread.hpp>
#include <glog/logging.h>
#include <memory>
#include <unistd.h>

namespace gentianramp {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" =\"\n\r\t") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        line += (character == '\n' || character == '\r') ? ' ' : character;
    }
    line += '"';
}

std::string formatLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line(event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        if (needsQuotes(field.value))
            appendQuoted(line, field.value);
        else
            line += field.value;
    }
    return line;
}

} // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : key(key)
    , value(value)
{ }

LogField::LogField(std::string_view key, const char *value)
    : key(key)
    , value(value)
{ }

LogField::LogField(std::string_view key, long long value)
    : key(key)
    , value(std::to_string(value))
{ }

LogField::LogField(std::string_view key, unsigned long long value)
    : key(key)
    , value(std::to_string(value))
{ }

LogField::LogField(std::string_view key, long value)
    : key(key)
    , value(std::to_string(value))
{ }

LogField::LogField(std::string_view key, unsigned long value)
    : key(key)
    , value(std::to_string(value))
{ }

LogField::LogField(std::string_view key, int value)
    : key(key)
    , value(std::to_string(value))
{ }

LogField::LogField(std::string_view key, unsigned value)
    : key(key)
    , value(std::to_string(value))
{ }

namespace {

/// Writes to standard output without waiting; returns the bytes taken.
std::size_t writeStandardOutput(std::string_view bytes)
{
    const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    return written > 0 ? static_cast<std::size_t>(written) : 0;
}

std::string linePrefix(TimePoint now, char level)
{
    return "time_ms=" + std::to_string(wallClockMs()) + " mono_ms="
        + std::to_string(toMilliseconds(now.time_since_epoch())) + " level=" + level + " event=";
}

/// glog's way to the bounded buffer.
class BufferSink : public google::LogSink
{
public:
    explicit BufferSink(const LogBounds &bounds)
        : m_buffer(bounds, writeStandardOutput)
    { }

    void send(google::LogSeverity severity, const char *, const char *, int,
              const google::LogMessageTime &, const char *message, std::size_t length) override
    {
        const TimePoint now = RuntimeClock::now();
        std::string line = linePrefix(now, google::GetLogSeverityName(severity)[0]);
        line.append(message, length);
        line += '\n';
        m_buffer.add(line, now);
    }

    LogBuffer &buffer() { return m_buffer; }

private:
    LogBuffer m_buffer;
};

std::unique_ptr<BufferSink> &bufferSink()
{
    static std::unique_ptr<BufferSink> sink;
    return sink;
}

std::string currentExceptionText()
{
    const std::exception_ptr error = std::current_exception();
    if (!error)
        return "no exception";
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &problem) {
        return problem.what();
    } catch (...) {
        return "unknown exception";
    }
}

/// Logs what ends the process, after the lines that are held. Writes past glog and waits for no
/// lock, since the thread that ends the process may hold it.
[[noreturn]] void logAndAbort()
{
    const bool held = bufferSink() != nullptr;
    if (held)
        bufferSink()->buffer().tryFlush();
    const std::string line = linePrefix(RuntimeClock::now(), 'E')
        + formatLine("process_aborted",
                     {{"thread", threadName()}, {"reason", currentExceptionText()}})
        + '\n';
    [[maybe_unused]] const ssize_t written
        = ::write(held ? STDOUT_FILENO : STDERR_FILENO, line.data(), line.size());
    std::abort();
}

void sendToStandardOutput(const LogBounds &bounds)
{
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    // A reader that stops must not stop this process.
    fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    bufferSink() = std::make_unique<BufferSink>(bounds);
    google::AddLogSink(bufferSink().get());
}

} // namespace

void startLogging(const std::string &name, LogTarget target, const LogBounds &bounds)
{
    static std::string programName;
    programName = name;
    FLAGS_logtostderr = true;
    // While TZ is not set, the C library sets up its time zone anew for each line that glog writes.
    setenv("TZ", ":/etc/localtime", 0);
    // With TZ it does so at the first use only; do it before other threads log.
    tzset();
    google::InitGoogleLogging(programName.c_str());
    std::set_terminate(logAndAbort);
    if (target == LogTarget::StandardOutput)
        sendToStandardOutput(bounds);
}

void flushLog()
{
    if (bufferSink())
        bufferSink()->buffer().flush();
}

std::uint64_t droppedLogLines()
{
    return bufferSink() ? bufferSink()->buffer().dropped() : 0;
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(INFO) << formatLine(event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(WARNING) << formatLine(event, fields);
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    LOG(ERROR) << formatLine(event, fields);
}

} // namespace gentianramp
