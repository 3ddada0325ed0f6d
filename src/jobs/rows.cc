#include "jobs/rows.h"

#include <algorithm>
#include <boost/json.hpp>

namespace hemlockward::jobs {

namespace json = boost::json;

namespace {

std::string_view TextOrEmpty(const json::object& object,
                             std::string_view name) {
  const json::value* it = object.if_contains(name);
  return it && it->is_string() ? std::string_view(it->get_string())
                               : std::string_view();
}

std::int64_t IntegerOrZero(const json::object& object, std::string_view name) {
  const json::value* it = object.if_contains(name);
  return it && it->is_int64() ? it->get_int64() : 0;
}

// Returns the open occurrence whose number is `value`; null if there is none.
Occurrence* FindOccurrence(const json::value& value, Job& job) {
  boost::system::error_code ec;
  const int number = value.to_number<int>(ec);
  const auto it = ec ? job.occurrences.end() : job.occurrences.find(number);
  return it == job.occurrences.end() ? nullptr : &it->second;
}

// Returns a position in a list of `size` entries; nullopt if the value is none.
std::optional<std::size_t> Position(const json::value& value,
                                    std::size_t size) {
  boost::system::error_code ec;
  const auto n = value.to_number<std::size_t>(ec);
  if (ec || n >= size) return std::nullopt;
  return n;
}

std::optional<json::object> ParseObject(std::string_view text) {
  boost::system::error_code ec;
  json::value value = json::parse(text, ec);
  if (ec || !value.is_object()) return std::nullopt;
  return std::move(value.get_object());
}

std::optional<JobState> ParseState(std::string_view text) {
  for (const JobState it :
       {JobState::kPending, JobState::kRunning, JobState::kCompleted,
        JobState::kFailed, JobState::kCancelled}) {
    if (text == ToText(it)) return it;
  }
  return std::nullopt;
}

bool ApplyDone(const json::value& value, Job& job) {
  const json::array* row = value.if_array();
  if (!row || row->size() != 3 || !(*row)[2].is_string()) return false;
  Occurrence* occurrence = FindOccurrence((*row)[0], job);
  if (!occurrence) return false;
  auto& steps = occurrence->steps;
  const auto number = Position((*row)[1], steps.size());
  if (!number) return false;
  Step& step = steps[*number];
  const std::string_view marks = (*row)[2].get_string();
  for (std::size_t i = 0; i < std::min(marks.size(), step.tasks.size()); ++i) {
    if (marks[i] != '1' || step.tasks[i].done) continue;
    step.tasks[i].done = true;
    ++step.done;
  }
  if (step.done == static_cast<int>(step.tasks.size())) {
    ++occurrence->steps_done;
    if (occurrence->IsDone()) ++job.occurrences_done;
  }
  return true;
}

bool AddFailedRun(const json::value& value, Task& task) {
  boost::system::error_code ec;
  const int run = value.to_number<int>(ec);
  if (ec) return false;
  task.failed_runs.push_back(run);
  return true;
}

// Reads a row [run, worker, crashed].
bool AddLostRun(const json::value& value, Task& task) {
  const json::array* row = value.if_array();
  if (!row || row->size() != 3) return false;
  if (!(*row)[1].is_string() || !(*row)[2].is_bool()) return false;
  boost::system::error_code ec;
  const int run = (*row)[0].to_number<int>(ec);
  if (ec) return false;
  task.crashes.Add(
      {run, std::string((*row)[1].get_string()), (*row)[2].get_bool()});
  return true;
}

bool MarkUnanswered(const json::value& value, Task& task) {
  boost::system::error_code ec;
  const int run = value.to_number<int>(ec);
  if (ec) return false;
  for (LostRun& it : task.crashes.lost_runs) {
    if (it.run == run) it.started = false;
  }
  return true;
}

// Reads a row [occurrence, step, index, [run...]] and passes each run to `add`
// with its task.
bool ApplyRuns(const json::value& value, Job& job,
               bool (*add)(const json::value&, Task&)) {
  const json::array* row = value.if_array();
  if (!row || row->size() != 4 || !(*row)[3].is_array()) return false;
  Occurrence* occurrence = FindOccurrence((*row)[0], job);
  if (!occurrence) return false;
  auto& steps = occurrence->steps;
  const auto step = Position((*row)[1], steps.size());
  if (!step) return false;
  auto& tasks = steps[*step].tasks;
  const auto index = Position((*row)[2], tasks.size());
  if (!index) return false;
  const json::array& runs = (*row)[3].get_array();
  return std::all_of(runs.begin(), runs.end(), [&](const json::value& it) {
    return add(it, tasks[*index]);
  });
}

// Applies each entry of the list `name`, which may be missing.
template <class Apply>
bool ApplyEach(const json::object& row, std::string_view name, Apply apply) {
  const json::value* list = row.if_contains(name);
  if (!list || !list->is_array()) return true;
  const json::array& entries = list->get_array();
  return std::all_of(entries.begin(), entries.end(), apply);
}

// The numbers of the open occurrences as rows [first, last].
json::array EncodeOpen(const Job& job) {
  json::array ranges;
  std::optional<int> first;
  int last = 0;
  const auto add = [&] {
    if (first) ranges.push_back(json::array{*first, last});
  };
  for (const auto& [number, occurrence] : job.occurrences) {
    if (occurrence.IsDone()) continue;
    if (!first || number != last + 1) {
      add();
      first = number;
    }
    last = number;
  }
  add();
  return ranges;
}

// Rows of earlier versions don't tell which occurrences were opened: those up
// to the last one that they name. Returns how many.
std::int64_t CountNamed(const json::object& row) {
  std::int64_t n = 0;
  for (const char* name : {"done", "failed", "lost"}) {
    ApplyEach(row, name, [&n](const json::value& value) {
      const json::array* entry = value.if_array();
      const bool named = entry && !entry->empty() && (*entry)[0].is_int64();
      if (named) n = std::max(n, (*entry)[0].get_int64() + 1);
      return true;
    });
  }
  return n;
}

// Opens the occurrences of a job that repeats.
bool ApplyOpen(const json::object& row, Job& job, Millis now) {
  const bool names_open = row.contains("next");
  const std::int64_t next =
      names_open ? IntegerOrZero(row, "next") : CountNamed(row);
  if (next < 0 || next > OccurrenceCount(job.spec)) return false;
  job.next_occurrence = static_cast<int>(next);
  const auto open = [&job, now](std::size_t first, std::size_t last) {
    for (std::size_t i = first; i <= last; ++i) {
      if (!LoadOccurrence(job, static_cast<int>(i), now)) return false;
    }
    return true;
  };
  const auto open_range = [&job, &open](const json::value& value) {
    const json::array* range = value.if_array();
    if (!range || range->size() != 2) return false;
    const auto limit = static_cast<std::size_t>(job.next_occurrence);
    const auto first = Position((*range)[0], limit);
    const auto last = Position((*range)[1], limit);
    return first && last && open(*first, *last);
  };
  const bool read =
      names_open ? ApplyEach(row, "open", open_range)
                 : next == 0 || open(0, static_cast<std::size_t>(next - 1));
  job.occurrences_done =
      job.next_occurrence - static_cast<int>(job.occurrences.size());
  return read;
}

bool ApplyServices(const json::object& row, Job& job) {
  job.services_unknown = job.services_unknown || !row.contains("services");
  return ApplyEach(row, "services", [&job](const json::value& value) {
    if (!value.is_string()) return false;
    AddService(job, value.get_string());
    return true;
  });
}

int CountFailedRuns(const Job& job) {
  std::size_t n = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const Step& step : occurrence.steps) {
      for (const Task& it : step.tasks) n += it.failed_runs.size();
    }
  }
  return static_cast<int>(n);
}

}  // namespace

// Format: one line of JSON, then the unmodified request body of the client.
std::string EncodeJobRow(const Job& job) {
  const Queue& queue = job.accepted_queue;
  return json::serialize(json::object{{"queue", job.queue},
                                      {"service", queue.service},
                                      {"priority", queue.priority},
                                      {"attempts", queue.attempts},
                                      {"stretch", queue.stretch},
                                      {"target", queue.target.count},
                                      {"tickets", queue.needs_tickets},
                                      {"accepted", job.accepted_wall.count},
                                      {"services_stored", true}}) +
         "\n" + job.source;
}

std::optional<JobRow> DecodeJobRow(std::string_view text) {
  const std::size_t line = text.find('\n');
  if (line == std::string_view::npos) return std::nullopt;
  const auto head = ParseObject(text.substr(0, line));
  if (!head) return std::nullopt;
  JobRow row;
  row.queue.name = TextOrEmpty(*head, "queue");
  row.queue.service = TextOrEmpty(*head, "service");
  row.queue.priority = static_cast<int>(IntegerOrZero(*head, "priority"));
  row.queue.attempts =
      std::max(1, static_cast<int>(IntegerOrZero(*head, "attempts")));
  const json::value* stretch = head->if_contains("stretch");
  if (stretch && stretch->is_double()) row.queue.stretch = stretch->as_double();
  row.queue.target = {IntegerOrZero(*head, "target")};
  const json::value* tickets = head->if_contains("tickets");
  row.queue.needs_tickets = tickets && tickets->is_bool() && tickets->as_bool();
  row.accepted = {IntegerOrZero(*head, "accepted")};
  row.services_stored = head->contains("services_stored");
  row.source = text.substr(line + 1);
  return row;
}

std::string EncodeProgressRow(const Job& job, bool with_losses) {
  json::object row{{"state", ToText(job.state)}};
  if (HasEnded(job.state)) {
    row["queue"] = job.queue;
    return json::serialize(row);
  }
  json::array done;
  json::array failed;
  json::array lost;
  json::array unanswered;
  for (const auto& it : job.occurrences) {
    const int k = it.first;
    const Occurrence& occurrence = it.second;
    const bool is_open = job.spec.occurrences == 0 || !occurrence.IsDone();
    for (std::size_t s = 0; is_open && s < occurrence.steps.size(); ++s) {
      const Step& step = occurrence.steps[s];
      std::string marks;
      for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const Task& task = step.tasks[i];
        marks += task.done ? '1' : '0';
        if (task.done) continue;
        const auto add = [&](json::array& rows, json::array runs) {
          if (!runs.empty()) {
            rows.push_back(json::array{k, s, i, std::move(runs)});
          }
        };
        add(failed,
            json::array(task.failed_runs.begin(), task.failed_runs.end()));
        json::array lost_runs;
        json::array unanswered_runs;
        const auto losses =
            with_losses ? task.crashes.RunsToStore() : std::vector<LostRun>();
        for (const LostRun& it : losses) {
          lost_runs.push_back(json::array{it.run, it.worker, it.crashed});
          if (!it.started) unanswered_runs.push_back(it.run);
        }
        add(lost, std::move(lost_runs));
        add(unanswered, std::move(unanswered_runs));
      }
      if (step.done > 0) done.push_back(json::array{k, s, marks});
    }
  }
  if (job.spec.occurrences > 0) {
    row["next"] = job.next_occurrence;
    row["open"] = EncodeOpen(job);
  }
  row["done"] = std::move(done);
  if (!job.services_unknown) {
    row["services"] = json::array(job.services.begin(), job.services.end());
  }
  if (!failed.empty()) row["failed"] = std::move(failed);
  if (!lost.empty()) row["lost"] = std::move(lost);
  if (!unanswered.empty()) row["unanswered"] = std::move(unanswered);
  return json::serialize(row);
}

bool DecodeProgressRow(std::string_view text, Job& job, Millis now) {
  const auto row = ParseObject(text);
  if (!row) return false;
  const auto state = ParseState(TextOrEmpty(*row, "state"));
  if (!state) return false;
  job.state = *state;
  if (const std::string_view queue = TextOrEmpty(*row, "queue");
      !queue.empty()) {
    job.queue = queue;
  }
  if (job.spec.occurrences > 0 && !HasEnded(job.state) &&
      !ApplyOpen(*row, job, now)) {
    return false;
  }
  const auto done = [&job](const auto& it) { return ApplyDone(it, job); };
  const auto failed = [&job](const auto& it) {
    return ApplyRuns(it, job, AddFailedRun);
  };
  const auto lost = [&job](const auto& it) {
    return ApplyRuns(it, job, AddLostRun);
  };
  const auto unanswered = [&job](const auto& it) {
    return ApplyRuns(it, job, MarkUnanswered);
  };
  const bool read = ApplyEach(*row, "done", done) &&
                    ApplyEach(*row, "failed", failed) &&
                    ApplyEach(*row, "lost", lost) &&
                    ApplyEach(*row, "unanswered", unanswered);
  job.failed_runs = CountFailedRuns(job);
  return read && ApplyServices(*row, job);
}

std::string EncodeWorkerRow(const Worker& worker) {
  return json::serialize(
      json::object{{"address", worker.entry.address},
                   {"service", worker.entry.service},
                   {"zone", worker.entry.zone},
                   {"machine", worker.entry.vm},
                   {"started", worker.started_at_ms},
                   {"lost_before", worker.left.leaders_lost_before},
                   {"half_open", HalfOpen(worker.left)},
                   {"reserved", worker.left.reserved},
                   {"reserved_at", worker.left.reserved_at}});
}

bool DecodeWorkerRow(std::string_view text, Worker& worker, bool entry) {
  const auto row = ParseObject(text);
  if (!row) return false;
  worker.row_started_at_ms = IntegerOrZero(*row, "started");
  worker.row_half_open = static_cast<int>(IntegerOrZero(*row, "half_open"));
  worker.row_reserved = static_cast<int>(IntegerOrZero(*row, "reserved"));
  worker.left = {worker.row_started_at_ms,
                 static_cast<int>(IntegerOrZero(*row, "lost_before")),
                 worker.row_half_open};
  worker.left.reserved = worker.row_reserved;
  worker.left.reserved_at =
      static_cast<int>(IntegerOrZero(*row, "reserved_at"));
  if (!entry) return true;
  worker.entry.address = TextOrEmpty(*row, "address");
  worker.entry.service = TextOrEmpty(*row, "service");
  worker.entry.zone = TextOrEmpty(*row, "zone");
  worker.entry.vm = TextOrEmpty(*row, "machine");
  return true;
}

}  // namespace hemlockward::jobs
