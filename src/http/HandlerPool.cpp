#include "http/HandlerPool.h"

#include <utility>

namespace hemlockhaven {

HandlerPool::HandlerPool(std::size_t aMostThreads)
  : mostThreads_(aMostThreads)
{
}

HandlerPool::~HandlerPool()
{
  Stop();
}

void HandlerPool::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

bool HandlerPool::Run(std::function<void()> aHandler)
{
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      return false;
    }
    waiting_.push_back(std::move(aHandler));
    if (waiting_.size() > idle_ && threads_.size() < mostThreads_) {
      threads_.emplace_back([this] { Work(); });
    }
  }
  wake_.notify_one();
  return true;
}

void HandlerPool::Work()
{
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    ++idle_;
    wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    --idle_;
    if (waiting_.empty()) {
      return;
    }
    const std::function<void()> handler = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    handler();
    lock.lock();
  }
}

}
