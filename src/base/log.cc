#include "base/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <mutex>
#include <stop_token>
#include <thread>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace hemlockward::base {

namespace {

std::atomic<LogLevel> minimum_level{LogLevel::kInfo};
std::atomic<LogFormat> line_format{LogFormat::kKeyValue};

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" =\"\n\r\t\\") != std::string_view::npos;
}

// Lines per flush; a system call for each line would delay requests.
constexpr const char* kLinesPerFlush = "256";
constexpr std::chrono::milliseconds kFlushInterval{200};

// Limit of buffered standard output; more means that nothing reads it.
constexpr std::size_t kMaxBufferedBytes = 1024 * 1024;
// Writes to a pipe up to this size (PIPE_BUF) are atomic.
constexpr std::size_t kMaxWriteBytes = 4096;

// Buffers lines until the flusher writes them, so that a stalled reader blocks
// the flusher only. Lines that don't fit are dropped and counted.
class OutputBuffer {
 public:
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    if (buffered_.size() + line.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      buffered_ += "event=log_lines_dropped lines=" + std::to_string(dropped_);
      buffered_ += '\n';
      dropped_ = 0;
    }
    buffered_ += line;
  }

  void Flush() {
    std::string lines;
    {
      const std::lock_guard lock(mutex_);
      lines.swap(buffered_);
    }
    std::string_view remaining = lines;
    while (!remaining.empty()) {
      const std::size_t size = std::min(remaining.size(), kMaxWriteBytes);
      const ssize_t n = ::write(STDOUT_FILENO, remaining.data(), size);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0 && errno == EAGAIN) {
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        constexpr int kForever = -1;
        static_cast<void>(::poll(&ready, 1, kForever));
        continue;
      }
      if (n < 0) return;  // The reader of standard output is gone.
      remaining.remove_prefix(static_cast<std::size_t>(n));
    }
  }

 private:
  std::mutex mutex_;
  std::string buffered_;
  std::uint64_t dropped_ = 0;
};

OutputBuffer& Output() {
  static OutputBuffer buffer;
  return buffer;
}

// Lines per event and second, at most; above the peak rate of decisions in one
// process (1,500 starts per second in the largest deployments).
constexpr std::uint64_t kMaxLinesPerSecond = 2000;

// Limits the lines per second of each event, so that one frequent event under
// load doesn't crowd out the others.
class EventRateLimiter {
 public:
  // False if the line is to be suppressed. On the first line of a second,
  // `suppressed` is set to the number of lines suppressed in the last second
  // that had lines of the event.
  bool TryAcquire(std::string_view event, std::uint64_t* suppressed) {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    const std::lock_guard lock(mutex_);
    auto it = events_.find(event);
    if (it == events_.end()) it = events_.emplace(event, EventCount{}).first;
    EventCount& count = it->second;
    if (count.second != second) {
      *suppressed = count.lines > kMaxLinesPerSecond
                        ? count.lines - kMaxLinesPerSecond
                        : 0;
      count = {second, 0};
    }
    return ++count.lines <= kMaxLinesPerSecond;
  }

 private:
  struct EventCount {
    std::chrono::seconds second{0};
    std::uint64_t lines = 0;
  };
  std::mutex mutex_;
  std::map<std::string, EventCount, std::less<>> events_;
};

EventRateLimiter& RateLimiter() {
  static EventRateLimiter limiter;
  return limiter;
}

class OutputDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    Output().Add(message->logger()->logBuilder()->build(message, true));
  }
};

void InstallOutputDispatch() {
  static bool installed = false;
  if (std::exchange(installed, true)) return;
  constexpr const char* kDefault = "DefaultLogDispatchCallback";
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>(kDefault);
  el::Helpers::installLogDispatchCallback<OutputDispatch>("OutputDispatch");
  // The buffer must be created before the exit handler that flushes it, so that
  // it is destroyed after that.
  Output();
  static_cast<void>(std::atexit([] { Output().Flush(); }));
}

// Flushes periodically, so that a line is delayed by at most one interval. Runs
// until the process exits; a killed process loses the last interval's lines.
void StartFlusher() {
  static std::jthread flusher([](const std::stop_token& stop) {
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    while (!stop.stop_requested()) {
      wake.wait_for(lock, stop, kFlushInterval, [] { return false; });
      el::Loggers::flushAll();
      Output().Flush();
    }
  });
}

std::string QuoteJson(std::string_view value) {
  return boost::json::serialize(boost::json::string(value));
}

}  // namespace

void ConfigureLog(LogLevel level, LogFormat format, std::string_view file,
                  std::string_view process) {
  minimum_level = level;
  line_format = format;
  el::Configurations conf;
  conf.setToDefault();
  const std::string prefix =
      format == LogFormat::kJson
          ? std::string("{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\",") +
                "\"level\":\"%level\",\"process\":" + QuoteJson(process) +
                ",%msg}"
          : std::string("time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level ") +
                "process=" + std::string(process) + " %msg";
  conf.setGlobally(el::ConfigurationType::Format, prefix);
  const bool standard_output = file == "-";
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  conf.setGlobally(el::ConfigurationType::ToFile,
                   standard_output ? "false" : "true");
  if (!standard_output) {
    conf.setGlobally(el::ConfigurationType::Filename,
                     file.empty() ? "/dev/stderr" : std::string(file));
  }
  conf.setGlobally(el::ConfigurationType::LogFlushThreshold, kLinesPerFlush);
  el::Loggers::reconfigureLogger("default", conf);
  if (standard_output) InstallOutputDispatch();
  StartFlusher();
}

bool LogEnabled(LogLevel level) { return level >= minimum_level.load(); }

LogLine::LogLine(LogLevel level, std::string_view event)
    : level_(level), enabled_(LogEnabled(level)) {
  if (!enabled_) return;
  std::uint64_t suppressed = 0;
  enabled_ = RateLimiter().TryAcquire(event, &suppressed);
  With("event", event);
  if (suppressed > 0) With("left_out_before", suppressed);
}

LogLine::~LogLine() {
  if (!enabled_) return;
  switch (level_) {
    case LogLevel::kDebug:
    case LogLevel::kInfo:
      LOG(INFO) << text_;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << text_;
      break;
    case LogLevel::kError:
      LOG(ERROR) << text_;
      break;
  }
}

LogLine& LogLine::With(std::string_view key, std::string_view value) {
  if (!enabled_) return *this;
  const bool json = line_format.load() == LogFormat::kJson;
  if (json || NeedsQuotes(value)) return AppendField(key, QuoteJson(value));
  return AppendField(key, value);
}

LogLine& LogLine::AppendField(std::string_view key, std::string_view text) {
  if (!enabled_) return *this;
  const bool json = line_format.load() == LogFormat::kJson;
  if (!text_.empty()) text_ += json ? ',' : ' ';
  if (json) text_ += QuoteJson(key) + ':';
  if (!json) {
    text_ += key;
    text_ += '=';
  }
  text_ += text;
  return *this;
}

}  // namespace hemlockward::base
