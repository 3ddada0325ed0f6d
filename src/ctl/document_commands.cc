#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "control/document.h"
#include "control/operations.h"
#include "ctl/command.h"
#include "ctl/output.h"

namespace hemlockward::ctl {

namespace asio = boost::asio;
using CommandRegistration = kernel::Registration<Command>;
using kernel::HttpRequest;

namespace {

constexpr int kOkStatus = 200;
constexpr int kConflictStatus = 409;
// First line of a shown document. It holds the entity tag at that time, so that
// applying an edited copy can't overwrite another operator's change.
constexpr std::string_view kTagLine = "# hemlockward-etag: ";

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string ParseTagLine(std::string_view text) {
  if (!text.starts_with(kTagLine)) return {};
  text.remove_prefix(kTagLine.size());
  return std::string(text.substr(0, text.find('\n')));
}

std::string_view StripTagLine(std::string_view text) {
  if (!text.starts_with(kTagLine)) return text;
  const std::size_t end = text.find('\n');
  return end == std::string_view::npos ? std::string_view()
                                       : text.substr(end + 1);
}

std::string DocumentPath(const std::string& team) {
  return "/v1/teams/" + team + "/document";
}

int ReportUnreadableFile(Invocation& invocation, const std::string& path) {
  base::Findings findings;
  findings.Add({path, 0, 0}, "the file can't be read");
  PrintFindings(invocation, findings);
  return kRefused;
}

// Validates the document locally, without a call to a control process.
asio::awaitable<int> CheckDocument(Invocation& invocation) {
  const std::string& path = invocation.arguments[0];
  const auto text = ReadFile(path);
  if (!text) co_return ReportUnreadableFile(invocation, path);
  const auto document = control::ParseDocument(*text, path);
  if (!document) {
    PrintFindings(invocation, document.error());
    co_return kRefused;
  }
  if (invocation.format == OutputFormat::kJson) {
    invocation.out << "{\"findings\":[]}\n";
  } else {
    invocation.out << path << ": team " << document->team.value << ", service "
                   << document->service.value << ": no findings\n";
  }
  co_return kDone;
}

asio::awaitable<int> ShowDocument(Invocation& invocation) {
  HttpRequest request{"GET", DocumentPath(invocation.arguments[0]), {}, {}};
  const CallResult result = co_await invocation.api.Call(std::move(request));
  const bool found = result.state == CallState::kAnswered &&
                     result.response.status == kOkStatus;
  if (!found) co_return PrintFailure(invocation, result);
  invocation.out << kTagLine << result.response.Header("ETag") << '\n'
                 << StripTagLine(result.response.body);
  co_return kDone;
}

// Whether the document in force is the one sent; tells whether a change was
// made if the reply was lost.
asio::awaitable<bool> IsCurrentDocument(Invocation& invocation,
                                        std::string team, std::string text) {
  HttpRequest request{"GET", DocumentPath(team), {}, {}};
  const CallResult result = co_await invocation.api.Call(std::move(request));
  co_return result.state == CallState::kAnswered&& result.response.status ==
      kOkStatus&& result.response.body == text;
}

asio::awaitable<int> PrintApplied(Invocation& invocation, std::string team,
                                  std::string body) {
  if (invocation.format == OutputFormat::kJson) {
    invocation.out << body << '\n';
  } else {
    invocation.out << "document of team " << team << " accepted: " << body
                   << '\n';
  }
  co_return kDone;
}

// The tag to send for a document without a tag line: the apply then fails if
// the document in force changes after this call.
asio::awaitable<std::string> FetchCurrentTag(Invocation& invocation,
                                             std::string team) {
  HttpRequest request{"GET", DocumentPath(team), {}, {}};
  const CallResult result = co_await invocation.api.Call(std::move(request));
  const bool found = result.state == CallState::kAnswered &&
                     result.response.status == kOkStatus;
  co_return found ? std::string(result.response.Header("ETag")) : std::string();
}

asio::awaitable<int> ApplyDocument(Invocation& invocation) {
  const std::string& path = invocation.arguments[0];
  const auto text = ReadFile(path);
  if (!text) co_return ReportUnreadableFile(invocation, path);
  const auto document = control::ParseDocument(*text, path);
  if (!document) {
    PrintFindings(invocation, document.error());
    co_return kRefused;
  }
  const std::string team = document->team.value;
  std::string tag = invocation.if_match;
  if (tag.empty()) tag = ParseTagLine(*text);
  if (tag.empty()) tag = co_await FetchCurrentTag(invocation, team);
  HttpRequest request{"PUT", DocumentPath(team), {}, *text};
  if (!tag.empty()) request.headers.push_back({"If-Match", tag});
  const CallResult result = co_await invocation.api.Call(std::move(request));
  const int status = result.response.status;
  const bool answered = result.state == CallState::kAnswered;
  if (answered && status == kOkStatus) {
    co_return co_await PrintApplied(invocation, team, result.response.body);
  }
  const bool may_be_applied =
      result.state == CallState::kUnknown || status == kConflictStatus;
  if (may_be_applied && co_await IsCurrentDocument(invocation, team, *text)) {
    co_return co_await PrintApplied(invocation, team, "{\"accepted\":true}");
  }
  co_return PrintFailure(invocation, result);
}

const CommandRegistration kCheck("document check",
                                 {"FILE", "check a document, changing nothing",
                                  &CheckDocument});
const CommandRegistration kShow("document show",
                                {"TEAM", "print the document in force",
                                 &ShowDocument});
const CommandRegistration kApply("document apply",
                                 {"FILE", "put a document into force",
                                  &ApplyDocument});

}  // namespace

}  // namespace hemlockward::ctl
