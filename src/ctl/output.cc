#include "ctl/output.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include "control/operations.h"

namespace hemlockward::ctl {

namespace json = boost::json;

namespace {

constexpr int kFirstErrorStatus = 400;

bool IsScalar(const json::value& value) {
  return !value.is_object() && !value.is_array();
}

std::string ScalarText(const json::value& value) {
  if (value.is_string()) return json::value_to<std::string>(value);
  return json::serialize(value);
}

void PrintIndented(const json::value& value, std::ostream& out,
                   const std::string& indent) {
  if (IsScalar(value)) {
    out << indent << ScalarText(value) << '\n';
    return;
  }
  if (value.is_array()) {
    for (const json::value& it : value.as_array()) {
      out << indent << "-\n";
      PrintIndented(it, out, indent + "  ");
    }
    return;
  }
  for (const auto& it : value.as_object()) {
    out << indent << std::string_view(it.key()) << ":";
    if (IsScalar(it.value())) {
      out << ' ' << ScalarText(it.value()) << '\n';
      continue;
    }
    out << '\n';
    PrintIndented(it.value(), out, indent + "  ");
  }
}

void PrintFindingList(const json::array& findings, std::ostream& err) {
  for (const json::value& it : findings) {
    const json::object& finding = it.as_object();
    err << MemberText(finding, "file") << ':' << MemberText(finding, "line")
        << ':' << MemberText(finding, "column") << ": "
        << MemberText(finding, "problem");
    const std::string allowed = MemberText(finding, "allowed");
    if (!allowed.empty()) err << " (allowed: " << allowed << ')';
    err << '\n';
  }
}

// Prints both documents of a conflict between two operators.
void PrintConflict(const json::object& body, std::ostream& err) {
  if (!body.contains("stored")) return;
  err << "--- in force " << MemberText(body, "stored_etag") << '\n'
      << MemberText(body, "stored") << "--- sent\n"
      << MemberText(body, "sent");
}

}  // namespace

std::string MemberText(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? std::string() : ScalarText(*value);
}

void PrintTree(const json::value& value, std::ostream& out) {
  PrintIndented(value, out, "");
}

void PrintFindings(Invocation& invocation, const base::Findings& findings) {
  if (invocation.format == OutputFormat::kJson) {
    invocation.out << "{\"findings\":" << control::ToJson(findings) << "}\n";
    return;
  }
  invocation.err << findings.ToText();
}

int PrintFailure(Invocation& invocation, const CallResult& result) {
  const bool unknown = result.state == CallState::kUnknown;
  const int code = unknown ? kUnknown : kRefused;
  if (result.state != CallState::kAnswered) {
    invocation.err << "hemlockctl: " << result.what << '\n';
    if (unknown) invocation.err << "it may or may not have been done\n";
    return code;
  }
  if (invocation.format == OutputFormat::kJson) {
    invocation.out << result.response.body << '\n';
    return code;
  }
  boost::system::error_code ec;
  const json::value parsed = json::parse(result.response.body, ec);
  if (ec || !parsed.is_object()) {
    invocation.err << "hemlockctl: status " << result.response.status << '\n';
    return code;
  }
  const json::object& body = parsed.as_object();
  invocation.err << "hemlockctl: " << MemberText(body, "title") << '\n';
  const std::string detail = MemberText(body, "detail");
  if (!detail.empty()) invocation.err << detail << '\n';
  const json::value* findings = body.if_contains("findings");
  if (findings != nullptr && findings->is_array()) {
    PrintFindingList(findings->as_array(), invocation.err);
  }
  PrintConflict(body, invocation.err);
  return code;
}

int PrintAnswer(Invocation& invocation, const CallResult& result,
                void (*print_text)(const json::value&, std::ostream&)) {
  const bool answered = result.state == CallState::kAnswered;
  if (!answered || result.response.status >= kFirstErrorStatus) {
    return PrintFailure(invocation, result);
  }
  boost::system::error_code ec;
  const json::value body = json::parse(result.response.body, ec);
  if (invocation.format == OutputFormat::kJson || ec) {
    invocation.out << result.response.body << '\n';
    return kDone;
  }
  print_text(body, invocation.out);
  return kDone;
}

}  // namespace hemlockward::ctl
