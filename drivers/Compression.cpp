#include "drivers/Compression.h"

#include <array>
#include <zlib.h>

namespace turmericpitch {

namespace {

constexpr std::size_t ChunkBytes = 16 * 1024;

Error notCompressed(const char *Why) {
  return {.Kind = ErrorKind::BadRequest,
          .Message = "malformed compressed bytes: " +
                     std::string(Why ? Why : "the end is missing"),
          .Remedy = "run the same version on all instances"};
}

/// zlib's state of a decompression.
class Inflater {
public:
  explicit Inflater(std::string_view Bytes) {
    // zlib declares its input as writable, but doesn't write to it.
    this->Stream.next_in =
        reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
    this->Stream.avail_in = static_cast<uInt>(Bytes.size());
    this->Result = inflateInit(&this->Stream);
  }
  ~Inflater() { inflateEnd(&this->Stream); }
  Inflater(const Inflater &) = delete;
  Inflater &operator=(const Inflater &) = delete;

  /// Appends the next bytes. Returns false at the end or after an error.
  bool appendTo(std::string &Whole) {
    if (this->Result != Z_OK)
      return false;
    this->Stream.next_out = reinterpret_cast<Bytef *>(this->Chunk.data());
    this->Stream.avail_out = static_cast<uInt>(this->Chunk.size());
    this->Result = inflate(&this->Stream, Z_NO_FLUSH);
    Whole.append(this->Chunk.data(),
                 this->Chunk.size() - this->Stream.avail_out);
    return this->Result == Z_OK;
  }
  [[nodiscard]] bool ended() const { return this->Result == Z_STREAM_END; }
  [[nodiscard]] const char *problem() const { return this->Stream.msg; }

private:
  z_stream Stream{};
  int Result = Z_OK;
  std::array<char, ChunkBytes> Chunk{};
};

} // namespace

std::string compress(std::string_view Bytes) {
  uLongf Length = compressBound(static_cast<uLong>(Bytes.size()));
  std::string Compressed(Length, '\0');
  // Fails only for lack of memory or of room, which compressBound() excludes.
  ::compress(reinterpret_cast<Bytef *>(Compressed.data()), &Length,
             reinterpret_cast<const Bytef *>(Bytes.data()),
             static_cast<uLong>(Bytes.size()));
  Compressed.resize(Length);
  return Compressed;
}

Result<std::string> decompress(std::string_view Bytes, std::size_t MaxBytes) {
  Inflater Source(Bytes);
  std::string Whole;
  while (Source.appendTo(Whole))
    if (Whole.size() > MaxBytes)
      break;
  if (Whole.size() > MaxBytes)
    return boost::leaf::new_error(notCompressed("too long"));
  if (!Source.ended())
    return boost::leaf::new_error(notCompressed(Source.problem()));
  return Whole;
}

} // namespace turmericpitch
