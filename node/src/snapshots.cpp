#include "snapshots.h"

#include "endiveusher/kernel/msgpack.h"

#include <nlohmann/json.hpp>

#include <map>
#include <ranges>
#include <utility>

namespace endiveusher::node {

namespace {

using nlohmann::json;

/// First element of a header; distinct from the kinds of journal records, which are small numbers.
/// Headers of the first kind precede a whole snapshot, and have only the first two fields.
constexpr int kWholeKind = 100;
constexpr int kPartKind = 101;
constexpr std::size_t kWholeHeaderFields = 3;
constexpr std::size_t kPartHeaderFields = 6;
constexpr auto kRetryPause = std::chrono::milliseconds(100);
/// Size of a part from which on its records go into the next one; the store takes 2 MB.
constexpr std::size_t kMaxPartBytes = std::size_t{ 512 } << 10U;

struct header
{
  std::uint64_t mBase = 0;
  /// Number of records that follow in this part.
  std::size_t mCount = 0;
  std::size_t mPart = 0;
  std::size_t mParts = 1;
  std::uint64_t mWriter = 0;
};

std::string encode(const header& aHeader)
{
  std::string bytes;
  json::to_msgpack(json::array({ kPartKind, aHeader.mBase, aHeader.mCount, aHeader.mPart,
                                 aHeader.mParts, aHeader.mWriter }),
                   bytes);
  return bytes;
}

std::optional<header> decodeHeader(const std::string& aBytes)
{
  // A short array and a small number take a byte each, so that the second one is the kind.
  if (aBytes.size() < 2 || (aBytes[1] != kWholeKind && aBytes[1] != kPartKind)) {
    return std::nullopt;
  }
  try {
    const auto value = parseMsgpack(aBytes);
    if (value.is_array() && value.size() == kWholeHeaderFields && value[0] == kWholeKind) {
      return header{ .mBase = value[1], .mCount = value[2] };
    }
    if (value.is_array() && value.size() == kPartHeaderFields && value[0] == kPartKind) {
      return header{ .mBase = value[1],
                     .mCount = value[2],
                     .mPart = value[3],
                     .mParts = value[4],
                     .mWriter = value[5] };
    }
  } catch (const std::exception& /*aError*/) {
    // Not a header, as are most of the topic's records.
  }
  return std::nullopt;
}

/// Size of a part from which on further pieces of a record go into the next one.
constexpr std::size_t kMaxPiecedPartBytes = platform::kMaxAppendBytes / 2;
/// Size of the pieces of a record that is larger than the store takes. Each is the kind, whether it
/// is the last one of the record, and its bytes.
constexpr std::size_t kPieceBytes = platform::kMaxRecordBytes / 2;
constexpr int kPieceKind = 102;
constexpr std::size_t kPieceFields = 3;

std::string encodePiece(std::string_view aBytes, bool aIsLast)
{
  std::string bytes;
  json::to_msgpack(
    json::array({ kPieceKind, aIsLast, json::binary({ aBytes.begin(), aBytes.end() }) }), bytes);
  return bytes;
}

/// Puts the records of a snapshot together again, some of which are in pieces.
class record_assembler
{
public:
  /// Adds the next record of the topic to aRecords, or what it completes. Returns false if it is
  /// neither a record nor a piece.
  bool add(const std::string& aBytes, std::vector<scheduler::journal_record>& aRecords)
  {
    if (aBytes.size() > 1 && aBytes[1] == kPieceKind) {
      return addPiece(aBytes, aRecords);
    }
    return mPieces.empty() && addWhole(aBytes, aRecords);
  }
  /// Whether the last piece of a record is missing.
  bool isPending() const { return !mPieces.empty(); }

private:
  bool addPiece(const std::string& aBytes, std::vector<scheduler::journal_record>& aRecords)
  {
    try {
      const auto value = parseMsgpack(aBytes);
      if (!value.is_array() || value.size() != kPieceFields || value[0] != kPieceKind) {
        return false;
      }
      const auto& piece = value[2].get_binary();
      mPieces.append(piece.begin(), piece.end());
      return !value[1].get<bool>() || addWhole(std::exchange(mPieces, {}), aRecords);
    } catch (const std::exception& /*aError*/) {
      return false;
    }
  }
  static bool addWhole(std::string_view aBytes, std::vector<scheduler::journal_record>& aRecords)
  {
    auto record = scheduler::decodeRecord(aBytes);
    if (!record.ok()) {
      return false;
    }
    aRecords.push_back(*std::move(record));
    return true;
  }

  std::string mPieces;
};

/// Parts of one snapshot that were found, as positions of their headers by part.
using found_parts = std::map<std::size_t, std::size_t>;

} // namespace

bool snapshot_encoder::step(std::size_t aRecords)
{
  const auto& records = mSnapshot.mRecords;
  for (const auto end = mNext + std::min(aRecords, records.size() - mNext); mNext < end; ++mNext) {
    auto record = scheduler::encode(records[mNext]);
    if (record.size() <= platform::kMaxRecordBytes) {
      add(std::move(record), kMaxPartBytes);
      continue;
    }
    for (std::size_t at = 0; at < record.size(); at += kPieceBytes) {
      const auto piece = std::string_view(record).substr(at, kPieceBytes);
      add(encodePiece(piece, at + piece.size() == record.size()),
          at == 0 ? kMaxPartBytes : kMaxPiecedPartBytes);
    }
  }
  return mNext == records.size();
}

void snapshot_encoder::add(std::string aRecord, std::size_t aMaxPartBytes)
{
  if (mPartBytes > aMaxPartBytes) {
    mParts.emplace_back();
    mPartBytes = 0;
  }
  mPartBytes += aRecord.size();
  mParts.back().push_back(std::move(aRecord));
}

std::vector<std::vector<std::string>> snapshot_encoder::takeParts()
{
  for (std::size_t part = 0; part < mParts.size(); ++part) {
    mParts[part].insert(mParts[part].begin(), encode(header{ .mBase = mSnapshot.mBase,
                                                             .mCount = mParts[part].size(),
                                                             .mPart = part,
                                                             .mParts = mParts.size(),
                                                             .mWriter = mWriter }));
  }
  return std::move(mParts);
}

std::vector<std::vector<std::string>> encodeSnapshot(const snapshot& aSnapshot,
                                                     std::uint64_t aWriter)
{
  snapshot_encoder encoder(aSnapshot, aWriter);
  encoder.step(aSnapshot.mRecords.size());
  return encoder.takeParts();
}

std::optional<snapshot> lastSnapshot(const std::vector<std::string>& aRecords)
{
  // By base and writer. A writer appends the parts of a snapshot in order, and begins with the
  // first one again if it does not know that all were stored; the order of the jobs may differ
  // then.
  std::map<std::pair<std::uint64_t, std::uint64_t>, found_parts> found;
  std::map<std::pair<std::uint64_t, std::uint64_t>, found_parts> complete;
  for (std::size_t at = 0; at < aRecords.size(); ++at) {
    const auto one = decodeHeader(aRecords[at]);
    if (!one || aRecords.size() - at - 1 < one->mCount) {
      continue;
    }
    const std::pair key(one->mBase, one->mWriter);
    auto& positions = found[key];
    if (one->mPart == 0) {
      positions.clear();
    }
    positions[one->mPart] = at;
    if (positions.size() == one->mParts) {
      complete[key] = positions;
    }
    at += one->mCount;
  }
  std::size_t unreadable = 0;
  for (const auto& [key, positions] : std::views::reverse(complete)) {
    snapshot result{ .mBase = key.first,
                     .mWriter = key.second,
                     .mParts = positions.size(),
                     .mUnreadable = unreadable };
    bool readable = true;
    record_assembler assembler;
    for (const auto& [part, at] : positions) {
      const auto count = decodeHeader(aRecords[at])->mCount;
      for (std::size_t next = at + 1; next <= at + count && readable; ++next) {
        readable = assembler.add(aRecords[next], result.mRecords);
      }
    }
    if (readable && !assembler.isPending()) {
      return result;
    }
    ++unreadable;
  }
  return std::nullopt;
}

void snapshot_index::add(const std::vector<std::string>& aRecords)
{
  for (const auto& record : aRecords) {
    const auto found = decodeHeader(record);
    if (!found) {
      continue;
    }
    const std::pair key(found->mBase, found->mWriter);
    auto& parts = mIncomplete[key];
    if (found->mPart == 0) {
      parts.clear();
    }
    parts.insert(found->mPart);
    if (parts.size() == found->mParts) {
      mIncomplete.erase(key);
      add(found->mBase);
    }
  }
  std::erase_if(mIncomplete, [this](const auto& aOne) { return aOne.first.first < mNewestBase; });
}

snapshot_loader::snapshot_loader(platform::store& aStore, const clock& aClock, std::string aTopic)
  : mClock(aClock), mTopic(std::move(aTopic)), mRead(aStore, aClock)
{
}

void snapshot_loader::load(done_callback aDone)
{
  mRead.cancel();
  mDone = std::move(aDone);
  mNext = 0;
  mRetryAt = time_point{};
  mRecords.clear();
}

void snapshot_loader::tick(time_point aNow)
{
  mRead.tick(aNow);
  if (!mDone || mRead.open() || mRetryAt > aNow) {
    return;
  }
  mRead.read(mTopic, mNext, std::chrono::milliseconds(0),
             [this](platform::read_reply&& aReply, const probed_read::receipt& /*aReceipt*/) {
               onReadReply(std::move(aReply));
             });
}

void snapshot_loader::onReadReply(platform::read_reply&& aReply)
{
  switch (aReply.mOutcome) {
    case platform::read_reply::outcome::failed:
      mRetryAt = mClock.now() + kRetryPause;
      return;
    case platform::read_reply::outcome::deleted:
      mNext = std::max(mNext + 1, aReply.mFirst);
      mRecords.clear();
      return;
    case platform::read_reply::outcome::ok:
      break;
  }
  mNext += aReply.mRecords.size();
  std::ranges::move(aReply.mRecords, std::back_inserter(mRecords));
  if (mNext >= aReply.mEnd) {
    const auto finished = std::exchange(mDone, nullptr);
    finished(lastSnapshot(std::exchange(mRecords, {})));
  }
}

} // namespace endiveusher::node
