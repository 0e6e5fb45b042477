#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Kinds of frames on disk; the values are four ASCII letters as a number.
enum class FrameKind : std::uint32_t {
    Record = 0x52454331,   ///< "REC1": a PersistRecord.
    Snapshot = 0x534e4150, ///< "SNAP": a LedgerSnapshot.
};

/// A frame found in a file.
struct Frame
{
    std::string_view payload;
    std::size_t size = 0; ///< Including the header.
};

/// Puts a header of kind, length and checksum before @p payload.
std::string encodeFrame(FrameKind kind, std::string_view payload);
/// Reads the frame at the start of @p bytes; empty when it is incomplete or corrupt.
std::optional<Frame> decodeFrame(FrameKind kind, std::string_view bytes);
/// True when an intact frame starts anywhere in @p bytes.
bool containsFrame(FrameKind kind, std::string_view bytes);

} // namespace gentianramp
