#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/platform/store.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace endiveusher::node {

/// Time after which an answer to a read of the store is overdue, so that another try is sent.
///
/// Load pattern: the store takes calls for some seconds without ever answering them, then answers
/// new ones; what was acknowledged meanwhile has to be known within two seconds. A read may take
/// several seconds over a slow link, so that its time limit cannot be as short.
constexpr std::chrono::milliseconds overdueAfter(std::chrono::milliseconds aLatency)
{
  /// Exceeds the pauses of a loop that is short of CPU time.
  constexpr std::chrono::milliseconds kMinDelay{ 400 };
  /// Half of the shortest time in which a configuration has to be in force.
  constexpr std::chrono::milliseconds kMaxDelay{ 1000 };
  /// Multiple of the store's latency.
  constexpr int kLatencies = 4;
  return std::clamp(kLatencies * aLatency, kMinDelay, kMaxDelay);
}

/// One read of the store at a time. While no part of the answer arrives, small probes repeat the
/// read one after the other. The first answer is the answer of the read, and the other try is given
/// up.
///
/// A failed first try fails the read. A store that is merely slow still answers the first try,
/// because the probes do not shorten its time limit, and a probe's answer is ignored if a part of
/// the first one has arrived since the probe was sent: a slow link still delivers it.
class probed_read
{
public:
  /// How the read was answered.
  struct receipt
  {
    /// Time at which the try that was answered was sent.
    time_point mSent;
    /// Whether a probe was answered, so that the first try is lost.
    bool mByProbe = false;
  };
  template<typename Reply>
  using done_callback = std::function<void(Reply&& aReply, const receipt& aReceipt)>;

  probed_read(platform::store& aStore, const clock& aClock) : mStore(aStore), mClock(aClock) {}
  ~probed_read() { cancel(); }
  probed_read(const probed_read&) = delete;
  probed_read& operator=(const probed_read&) = delete;

  /// As platform::store::read(); there must be no open read.
  void read(std::string aTopic, std::uint64_t aFrom, std::chrono::milliseconds aWait,
            done_callback<platform::read_reply> aDone);
  /// As platform::store::newest(); there must be no open read.
  void newest(std::string aTopic, std::string aAfter, done_callback<platform::newest_reply> aDone);
  /// Gives up the open read, if any.
  void cancel();
  /// Sends a probe if one is due.
  void tick(time_point aNow);
  bool open() const { return mFirst != 0; }

private:
  template<typename Reply>
  using sender = std::function<edges::call_id(std::chrono::milliseconds aWait,
                                              std::function<void(Reply&&)> aReceive,
                                              const platform::read_try& aTry)>;

  template<typename Reply>
  void start(std::chrono::milliseconds aWait, sender<Reply> aSend, done_callback<Reply> aDone);
  void onProgress();
  template<typename Reply>
  void sendProbe(time_point aNow, const sender<Reply>& aSend, const done_callback<Reply>& aDone);

  platform::store& mStore;
  const clock& mClock;
  /// The open tries; 0 if there is none.
  edges::call_id mFirst = 0;
  edges::call_id mProbe = 0;
  /// Whether a part of the answer to the first try has arrived since the last probe was sent.
  bool mProgressed = false;
  time_point mNextProbeAt{};
  std::function<void(time_point aNow)> mSendProbe;
};

} // namespace endiveusher::node
