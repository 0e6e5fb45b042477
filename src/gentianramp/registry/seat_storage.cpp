#include <gentianramp/registry/seat_storage.hpp>

#include <gentianramp/registry/voter_folder.hpp>

namespace gentianramp {

namespace {

constexpr const char *TrialFile = "trial";
/// Takes a block of its own on the disk.
constexpr std::size_t TrialBytes = 4096;

bool isWritable(const DataFolder &folder)
{
    return !folder.replace(TrialFile, std::string(TrialBytes, '-')) && !folder.remove(TrialFile);
}

} // namespace

SeatStorage::SeatStorage(std::filesystem::path path, OpenFolderHook open)
    : m_path(std::move(path))
    , m_open(std::move(open))
{ }

Result<std::string> SeatStorage::open()
{
    m_usable = false;
    if (!m_folder) {
        Result<DataFolder> opened = m_open(m_path);
        if (!opened)
            return {opened.error(), opened.message()};
        m_folder = std::move(opened).value();
    }
    Result<std::string> seat = readSeat(*m_folder);
    // A full disk can be read. Without a seat, nothing else is written before one is offered.
    if (seat && seat->empty() && m_writeFailed)
        m_writeFailed = !isWritable(*m_folder);
    m_usable = seat && !m_writeFailed;
    m_seat = seat ? seat.value() : std::string();
    return seat;
}

std::error_code SeatStorage::prepare(const std::string &seat, bool founding, std::uint64_t seed)
{
    if (!m_folder)
        return make_error_code(Error::StorageFailed);
    const std::error_code error = prepareSeat(*m_folder, seat, founding, seed);
    m_writeFailed = static_cast<bool>(error);
    m_usable = !error;
    m_seat = error ? std::string() : seat;
    m_damaged = false;
    return error;
}

std::error_code SeatStorage::release()
{
    if (!m_folder)
        return make_error_code(Error::StorageFailed);
    const std::error_code error = emptyFolder(*m_folder);
    m_writeFailed = static_cast<bool>(error);
    m_usable = !error;
    m_seat.clear();
    m_damaged = false;
    return error;
}

void SeatStorage::noteLedger(const std::error_code &error)
{
    m_damaged = error == Error::StorageDamaged;
}

} // namespace gentianramp
