#include "kernel/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <exception>
#include <memory>
#include <utility>

#include "base/log.h"

namespace hemlockward::kernel {

namespace asio = boost::asio;

namespace {

void LogFailure(std::string_view task, const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& e) {
    base::LogLine(base::LogLevel::kError, "task_failed")
        .With("task", task)
        .With("error", e.what());
  }
}

asio::awaitable<void> RunLoop(std::string name,
                              std::function<asio::awaitable<void>()> loop) {
  while (true) {
    std::exception_ptr error;
    try {
      co_await loop();
    } catch (...) {
      error = std::current_exception();
    }
    if (!error) co_return;
    LogFailure(name, error);
    co_await Sleep(WorkerPool::kRestartPause);
  }
}

}  // namespace

WorkerPool::WorkerPool(int threads) : threads_(threads), context_(threads) {}

WorkerPool::~WorkerPool() { Stop(); }

void WorkerPool::Spawn(std::string name, asio::awaitable<void> task) {
  asio::co_spawn(context_, std::move(task),
                 [name = std::move(name)](const std::exception_ptr& error) {
                   if (error) LogFailure(name, error);
                 });
}

void WorkerPool::SpawnLoop(std::string name,
                           std::function<asio::awaitable<void>()> loop) {
  asio::co_spawn(context_, RunLoop(std::move(name), std::move(loop)),
                 asio::detached);
}

void WorkerPool::Run() {
  auto guard = asio::make_work_guard(context_);
  std::vector<std::jthread> threads;
  for (int i = 1; i < threads_; ++i) {
    threads.emplace_back([this] { context_.run(); });
  }
  context_.run();
}

void WorkerPool::Stop() { context_.stop(); }

asio::awaitable<void> Sleep(base::Millis duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration.ToChrono());
  co_await timer.async_wait(asio::use_awaitable);
}

void OnStopSignal(WorkerPool& pool, std::function<void()> on_first) {
  auto signals =
      std::make_shared<asio::signal_set>(pool.context(), SIGTERM, SIGINT);
  signals->async_wait([signals, &pool, on_first = std::move(on_first)](
                          boost::system::error_code ec, int) {
    if (ec) return;
    on_first();
    signals->async_wait([signals, &pool](boost::system::error_code again, int) {
      if (!again) pool.Stop();
    });
  });
}

namespace {

void WaitForReloadSignal(std::shared_ptr<asio::signal_set> signals,
                         std::function<void()> reload) {
  asio::signal_set& set = *signals;
  set.async_wait([signals = std::move(signals), reload = std::move(reload)](
                     boost::system::error_code ec, int) {
    if (ec) return;
    reload();
    WaitForReloadSignal(signals, reload);
  });
}

}  // namespace

void OnReloadSignal(WorkerPool& pool, std::function<void()> reload) {
  WaitForReloadSignal(
      std::make_shared<asio::signal_set>(pool.context(), SIGHUP),
      std::move(reload));
}

}  // namespace hemlockward::kernel
