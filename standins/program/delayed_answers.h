#pragma once

#include "endiveusher/edges/http_server.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace endiveusher::standins {

/// Gives answers after a delay, on a thread of its own. Answers still waiting at the end are lost.
class delayed_answers
{
public:
  delayed_answers() : mThread([this] { run(); }) {}

  ~delayed_answers()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mCondition.notify_all();
    mThread.join();
  }

  delayed_answers(const delayed_answers&) = delete;
  delayed_answers& operator=(const delayed_answers&) = delete;

  void give(const edges::responder& aResponder, edges::http_answer aAnswer,
            std::chrono::milliseconds aDelay)
  {
    {
      const std::lock_guard lock(mMutex);
      mWaiting.emplace(std::chrono::steady_clock::now() + aDelay,
                       std::pair{ aResponder, std::move(aAnswer) });
    }
    mCondition.notify_all();
  }

private:
  void run()
  {
    std::unique_lock lock(mMutex);
    while (!mStopping) {
      if (mWaiting.empty()) {
        mCondition.wait(lock);
        continue;
      }
      const auto first = mWaiting.begin();
      if (const auto due = first->first; due > std::chrono::steady_clock::now()) {
        mCondition.wait_until(lock, due);
        continue;
      }
      const auto [responder, answer] = std::move(first->second);
      mWaiting.erase(first);
      lock.unlock();
      responder.answer(answer);
      lock.lock();
    }
  }

  std::mutex mMutex;
  std::condition_variable mCondition;
  bool mStopping = false;
  std::multimap<std::chrono::steady_clock::time_point,
                std::pair<edges::responder, edges::http_answer>>
    mWaiting;
  std::thread mThread;
};

} // namespace endiveusher::standins
