#pragma once

#include <boost/json/fwd.hpp>
#include <ostream>
#include <string>
#include <string_view>

#include "base/findings.h"
#include "ctl/command.h"

/// Output of the commands.
namespace hemlockward::ctl {

/// Prints findings as text, one per line, or as JSON.
void PrintFindings(Invocation& invocation, const base::Findings& findings);

/// Prints an error response, or why there is no response, and returns the
/// matching exit code.
int PrintFailure(Invocation& invocation, const CallResult& result);

/// Prints a successful response: unchanged with --output json, otherwise with
/// `print_text`. Any other result is passed to PrintFailure.
int PrintAnswer(Invocation& invocation, const CallResult& result,
                void (*print_text)(const boost::json::value&, std::ostream&));

/// A member of an object as text; empty if absent.
std::string MemberText(const boost::json::object& object, std::string_view key);

/// Prints one `key: value` line per member; nested members are indented.
void PrintTree(const boost::json::value& value, std::ostream& out);

}  // namespace hemlockward::ctl
