#include "probed_read.h"

#include <utility>

namespace endiveusher::node {

namespace {

/// Size of a probe's answer: a hundredth of a second on a link of 20 Mbit/s.
constexpr std::size_t kProbeKilobytes = 32;

bool failed(const platform::read_reply& aReply)
{
  return aReply.mOutcome == platform::read_reply::outcome::failed;
}

bool failed(const platform::newest_reply& aReply)
{
  return !aReply.mOk;
}

} // namespace

void probed_read::cancel()
{
  mStore.cancel(std::exchange(mFirst, 0));
  mStore.cancel(std::exchange(mProbe, 0));
  mSendProbe = nullptr;
}

void probed_read::tick(time_point aNow)
{
  if (mSendProbe && mProbe == 0 && mNextProbeAt <= aNow) {
    mSendProbe(aNow);
  }
}

void probed_read::onProgress()
{
  mProgressed = true;
  // The store no longer holds the read open.
  mNextProbeAt = mClock.now() + overdueAfter(mStore.latency());
}

template<typename Reply>
void probed_read::start(std::chrono::milliseconds aWait, sender<Reply> aSend,
                        done_callback<Reply> aDone)
{
  const auto now = mClock.now();
  mNextProbeAt = now + aWait + overdueAfter(mStore.latency());
  mFirst = aSend(aWait,
                 [this, now, aDone](Reply&& aReply) {
                   mFirst = 0;
                   cancel();
                   aDone(std::move(aReply), { .mSent = now });
                 },
                 { .mOnProgress = [this] { onProgress(); } });
  mSendProbe = [this, aSend, aDone](time_point aNow) { sendProbe<Reply>(aNow, aSend, aDone); };
}

template<typename Reply>
void probed_read::sendProbe(time_point aNow, const sender<Reply>& aSend,
                            const done_callback<Reply>& aDone)
{
  const auto limit = overdueAfter(mStore.latency());
  mNextProbeAt = aNow + limit;
  mProgressed = false;
  mProbe = aSend(std::chrono::milliseconds(0),
                 [this, aNow, done = aDone](Reply&& aReply) {
                   mProbe = 0;
                   if (!mProgressed && !failed(aReply)) {
                     cancel();
                     done(std::move(aReply), { .mSent = aNow, .mByProbe = true });
                   }
                 },
                 { .mTimeout = limit, .mKilobytes = kProbeKilobytes });
}

void probed_read::read(std::string aTopic, std::uint64_t aFrom, std::chrono::milliseconds aWait,
                       done_callback<platform::read_reply> aDone)
{
  start<platform::read_reply>(
    aWait,
    [this, topic = std::move(aTopic), aFrom](std::chrono::milliseconds aTryWait, auto aReceive,
                                             const platform::read_try& aTry) {
      return mStore.read(topic, aFrom, aTryWait, std::move(aReceive), aTry);
    },
    std::move(aDone));
}

void probed_read::newest(std::string aTopic, std::string aAfter,
                         done_callback<platform::newest_reply> aDone)
{
  start<platform::newest_reply>(
    std::chrono::milliseconds(0),
    [this, topic = std::move(aTopic), after = std::move(aAfter)](
      std::chrono::milliseconds /*aTryWait*/, auto aReceive, const platform::read_try& aTry) {
      return mStore.newest(topic, after, std::move(aReceive), aTry);
    },
    std::move(aDone));
}

} // namespace endiveusher::node
