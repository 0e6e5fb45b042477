#include "run_record.hpp"

namespace gentianramp {

namespace {

std::string identityOf(const RunEntry &entry)
{
    return entry.key.value().empty() ? "request " + entry.request.value()
                                     : "key " + entry.key.value();
}

nlohmann::json fieldsOf(const RunEntry &entry)
{
    return {{"request_id", entry.request.value()},
            {"attempt", entry.attempt.value()},
            {"key", entry.key.value()},
            {"started_ms", entry.startedMs}};
}

} // namespace

RunRecord::RunRecord(const std::filesystem::path &file)
{
    if (!file.empty())
        m_file.open(file, std::ios::app);
}

std::uint32_t RunRecord::add(RunEntry entry)
{
    append("run", entry);
    const std::uint32_t runs = ++m_runs[identityOf(entry)];
    m_entries.push_back(std::move(entry));
    return runs;
}

void RunRecord::addLateArrival(const RunEntry &entry)
{
    append("late_arrival", entry);
}

nlohmann::json RunRecord::toJson() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const RunEntry &entry : m_entries) {
        nlohmann::json line = fieldsOf(entry);
        line["runs"] = m_runs.at(identityOf(entry));
        list.push_back(std::move(line));
    }
    return list;
}

void RunRecord::append(const char *event, const RunEntry &entry)
{
    if (!m_file.is_open())
        return;
    nlohmann::json line = fieldsOf(entry);
    line["event"] = event;
    m_file << line.dump() << std::endl;
}

} // namespace gentianramp
