#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianramp {

/// Kinds of frames on disk.
enum class FrameKind : std::uint32_t {
    Record = 0x52454331,   ///< A PersistRecord.
    Snapshot = 0x534e4150, ///< A LedgerSnapshot.
};

/// A frame found in a file.
struct Frame
{
    std::string_view payload;
    std::size_t size = 0; ///< Including the header.
};

/// Wraps @p payload in length, kind and checksum.
std::string encodeFrame(FrameKind kind, std::string_view payload);
/// Reads the frame at the start of @p bytes; empty when it is torn or broken.
std::optional<Frame> decodeFrame(FrameKind kind, std::string_view bytes);
/// True when a whole frame starts anywhere in @p bytes.
bool containsFrame(FrameKind kind, std::string_view bytes);

} // namespace gentianramp
