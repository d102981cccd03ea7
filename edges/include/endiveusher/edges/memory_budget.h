#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace endiveusher::edges {

/// Size up to which the key of an incomplete request need not have been checked: a header and a
/// small body, 16 KiB each.
inline constexpr std::size_t kUncheckedBytes = std::size_t{ 32 } << 10U;

/// Holder of reserved memory that can be given up.
class sheddable
{
public:
  struct held_memory
  {
    /// Bytes that shed() would release.
    std::size_t mBytes = 0;
    /// Whether the request has a valid key or a public route.
    bool mTrusted = false;
    /// Whether the bytes are those of an answer, not of an incomplete request.
    bool mAnswer = false;
  };

  sheddable() = default;
  virtual ~sheddable() = default;
  sheddable(const sheddable&) = delete;
  sheddable& operator=(const sheddable&) = delete;

  virtual held_memory held() const = 0;
  /// Gives up what is held; returns the number of bytes released, 0 if there is none by now.
  virtual std::size_t shed() = 0;
};

/// Number of bytes that the servers of a process may buffer together. Thread-safe.
///
/// Load pattern: hundreds of connections, each with a large request that never becomes complete.
///
/// Usage:
///   auto budget = std::make_shared<memory_budget>(std::size_t{ 40 } << 20U);
///   http_server server({ .mBudget = budget }, handler);
class memory_budget
{
public:
  /// Appends the holders of a server to its argument.
  using source = std::function<void(std::vector<std::shared_ptr<sheddable>>&)>;

  explicit memory_budget(std::size_t aLimit) : mLimit(aLimit) {}

  /// Reserves aBytes; returns false if the limit would be exceeded.
  bool tryReserve(std::size_t aBytes);
  /// Reserves aBytes, beyond the limit if need be.
  void reserve(std::size_t aBytes) { mUsed += aBytes; }
  void release(std::size_t aBytes) { mUsed -= aBytes; }

  void addSource(source aSource);
  /// Sheds until aBytes can be reserved; returns false if they cannot. In this order: large
  /// requests that are not trusted, other requests, answers; the largest first. Stops at aRequester
  /// (may be null), which holds the bytes that it asks for in addition: if it is next, its caller
  /// has to shed it. Untrusted requests are shed until an eighth of the limit is free, so that the
  /// cost of the search is spread over many reservations. Must not be called with a lock that a
  /// holder or a source takes.
  bool makeRoom(std::size_t aBytes, const sheddable* aRequester);
  /// Counts a request that was shed.
  void countShed(std::size_t aBytes);

  std::size_t used() const { return mUsed; }
  std::size_t limit() const { return mLimit; }
  std::uint64_t shedRequests() const { return mShedRequests; }
  std::uint64_t shedBytes() const { return mShedBytes; }

private:
  const std::size_t mLimit;
  std::atomic<std::size_t> mUsed = 0;
  std::atomic<std::uint64_t> mShedRequests = 0;
  std::atomic<std::uint64_t> mShedBytes = 0;
  /// Also held while holders are shed, so that one thread at a time sheds.
  std::mutex mMutex;
  std::vector<source> mSources;
};

/// Bytes of a budget that are released with this object. Without a budget it is unbounded. Not
/// thread-safe.
class memory_charge
{
public:
  memory_charge() = default;
  explicit memory_charge(std::shared_ptr<memory_budget> aBudget) : mBudget(std::move(aBudget)) {}
  ~memory_charge() { resize(0); }
  memory_charge(memory_charge&& aOther) noexcept;
  memory_charge& operator=(memory_charge&& aOther) noexcept;
  memory_charge(const memory_charge&) = delete;
  memory_charge& operator=(const memory_charge&) = delete;

  /// Changes the size to aBytes; returns false, with the size unchanged, if the limit would be
  /// exceeded.
  bool tryResize(std::size_t aBytes);
  /// Changes the size to aBytes, beyond the limit if need be.
  void resize(std::size_t aBytes);
  std::size_t bytes() const { return mBytes; }

private:
  std::shared_ptr<memory_budget> mBudget;
  std::size_t mBytes = 0;
};

} // namespace endiveusher::edges
