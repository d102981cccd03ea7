#pragma once

#include "boot_clock.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/standins/store_model.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::node::testing {

/// A model of the store behind its HTTP interface on loopback, with a client for it.
class store_fixture
{
public:
  store_fixture()
    : mServer({ .mMaxRequestBytes = std::size_t{ 16 } << 20U },
              [this](edges::http_request aRequest, edges::responder aResponder) {
                serve(aRequest, aResponder);
              }),
      mStore(mLoop, "127.0.0.1:" + std::to_string(mServer.port()))
  {
  }

  /// Runs the loop until aReady returns true; returns false if it does not within a few seconds.
  bool runUntil(
    const std::function<bool()>& aReady, const std::function<void()>& aTick = [] {},
    int aMaxTurns = 3000)
  {
    for (int turn = 0; turn < aMaxTurns && !aReady(); ++turn) {
      aTick();
      mLoop.run(std::chrono::milliseconds(1));
    }
    return aReady();
  }

  boot_clock mClock;
  std::mutex mMutex;
  standins::store_model mModel;
  /// Number of next appends that are carried out without an answer.
  int mLoseAnswers = 0;
  struct odd_answer
  {
    int mStatus = 500;
    bool mCarriedOut = true;
    std::string mBody;
  };
  /// Answers to the next appends.
  std::deque<odd_answer> mOddAnswers;
  /// Returns the number of calls that were held so far.
  std::size_t held()
  {
    const std::lock_guard lock(mMutex);
    return mHeld.size();
  }
  /// Carries out and answers a held call, by its number from 0.
  void answerHeld(std::size_t aCall)
  {
    const std::lock_guard lock(mMutex);
    carryOut(mHeld.at(aCall).first, mHeld.at(aCall).second);
  }
  void setSilent(bool aSilent)
  {
    const std::lock_guard lock(mMutex);
    mSilent = aSilent;
  }
  void append(const std::string& aTopic, const std::vector<std::string>& aRecords)
  {
    const std::lock_guard lock(mMutex);
    mModel.append({ .mTopic = aTopic, .mRecords = aRecords });
  }

  /// Maximum size of an append.
  std::size_t mMaxCallBytes = std::size_t{ 2 } << 20U;
  /// Maximum number of records in the answer to a read.
  std::size_t mMaxRecordsPerRead = 1'000'000;
  /// Number of reads, by topic.
  std::map<std::string, int> mReads;
  /// Number of next calls that are answered with 503 without being carried out.
  int mRefuse = 0;
  /// Whether calls are held, neither carried out nor answered.
  bool mSilent = false;
  /// Topic whose reads get no answer.
  std::string mUnreadTopic;
  /// Topic whose appends are answered with 503 without being carried out, and their number.
  std::string mRefusedTopic;
  int mRefusedAppends = 0;
  edges::http_loop mLoop;

private:
  static std::uint64_t number(const edges::http_request& aRequest, const std::string& aName)
  {
    const auto found = aRequest.mQuery.find(aName);
    return found == aRequest.mQuery.end() ? 0 : std::stoull(found->second);
  }

  static std::string bigEndian(std::uint64_t aNumber, int aBytes)
  {
    std::string bytes;
    while (aBytes-- > 0) {
      bytes.push_back(static_cast<char>(aNumber >> (8 * aBytes)));
    }
    return bytes;
  }

  static std::vector<std::string> records(std::string_view aBody)
  {
    std::vector<std::string> found;
    while (aBody.size() >= 4) {
      std::size_t length = 0;
      for (const char one : aBody.substr(0, 4)) {
        length = (length << 8U) | static_cast<unsigned char>(one);
      }
      found.emplace_back(aBody.substr(4, length));
      aBody.remove_prefix(4 + length);
    }
    return found;
  }

  void serve(const edges::http_request& aRequest, const edges::responder& aResponder)
  {
    const std::lock_guard lock(mMutex);
    if (mSilent) {
      mHeld.emplace_back(aRequest, aResponder);
      return;
    }
    carryOut(aRequest, aResponder);
  }

  void carryOut(const edges::http_request& aRequest, const edges::responder& aResponder)
  {
    if (mRefuse > 0) {
      --mRefuse;
      aResponder.answer({ .mStatus = 503 });
      return;
    }
    if (aRequest.mPath == "/log-trim") {
      const auto body = nlohmann::json::parse(aRequest.mBody);
      mModel.trim(body.at("topic"), body.at("before"));
      aResponder.answer({});
      return;
    }
    const auto topic = aRequest.mQuery.at("topic");
    if (aRequest.mPath == "/log-append") {
      if (aRequest.mBody.size() > mMaxCallBytes) {
        aResponder.answer({ .mStatus = 400 });
        return;
      }
      if (topic == mRefusedTopic) {
        ++mRefusedAppends;
        aResponder.answer({ .mStatus = 503 });
        return;
      }
      standins::store_append append{ .mTopic = topic,
                                     .mRecords = records(aRequest.mBody),
                                     .mEpoch = number(aRequest, "epoch"),
                                     .mSequence = number(aRequest, "sequence") };
      if (const auto found = aRequest.mQuery.find("producer"); found != aRequest.mQuery.end()) {
        append.mProducer = found->second;
      }
      if (aRequest.mQuery.contains("timestamp")) {
        append.mExpectedEnd = number(aRequest, "timestamp");
      }
      if (!mOddAnswers.empty()) {
        const auto odd = mOddAnswers.front();
        mOddAnswers.pop_front();
        if (odd.mCarriedOut) {
          mModel.append(append);
        }
        aResponder.answer(
          { .mStatus = static_cast<std::uint16_t>(odd.mStatus), .mBody = odd.mBody });
        return;
      }
      const auto answer = mModel.append(append);
      if (mLoseAnswers > 0) {
        --mLoseAnswers;
        mUnanswered.push_back(aResponder);
        return;
      }
      aResponder.answer({ .mStatus = static_cast<std::uint16_t>(answer.mStatus),
                          .mBody = R"({"reason":")" + answer.mReason + R"(","offset":)" +
                                   std::to_string(answer.mOffset) + R"(,"end":)" +
                                   std::to_string(answer.mEnd) + R"(,"expected":)" +
                                   std::to_string(answer.mExpected) + "}" });
      return;
    }
    ++mReads[topic];
    if (topic == mUnreadTopic) {
      mUnanswered.push_back(aResponder);
      return;
    }
    if (aRequest.mPath == "/log-newest") {
      std::map<std::string, std::string> newest;
      const auto records = mModel.read(topic, mModel.first(topic));
      for (const auto& bytes : *records) {
        if (const auto record = platform::decodeKeyed(bytes)) {
          newest[record->mKey] = record->mValue.value_or("");
        }
      }
      auto items = nlohmann::json::array();
      for (const auto& [key, value] : newest) {
        items.push_back({ { "key", key }, { "value", absl::Base64Escape(value) } });
      }
      aResponder.answer(
        { .mBody = nlohmann::json{ { "items", items }, { "end", mModel.end(topic) } }.dump() });
      return;
    }
    if (aRequest.mPath == "/log-read") {
      const auto found = mModel.read(topic, number(aRequest, "from"));
      if (!found) {
        aResponder.answer(
          { .mStatus = 410, .mBody = R"({"first":)" + std::to_string(mModel.first(topic)) + "}" });
        return;
      }
      std::string body = bigEndian(mModel.end(topic), 8) + bigEndian(mModel.first(topic), 8);
      for (const auto& record :
           std::span(*found).first(std::min(found->size(), mMaxRecordsPerRead))) {
        body += bigEndian(record.size(), 4) + record;
      }
      aResponder.answer({ .mBody = std::move(body) });
      return;
    }
    aResponder.answer({ .mStatus = 404 });
  }

  std::vector<edges::responder> mUnanswered;
  std::vector<std::pair<edges::http_request, edges::responder>> mHeld;

public:
  edges::http_server mServer;
  platform::store mStore;
};

} // namespace endiveusher::node::testing
