#pragma once

#include <boost/json/fwd.hpp>
#include <ostream>
#include <string>
#include <string_view>

#include "base/findings.h"
#include "ctl/command.h"

/// What the commands print.
namespace hemlockward::ctl {

/// Prints findings, one line each, or as JSON.
void PrintFindings(Invocation& invocation, const base::Findings& findings);

/// Prints an answer that refuses, or the lack of one, and returns the exit
/// code that it stands for.
int PrintFailure(Invocation& invocation, const CallResult& result);

/// Prints a successful answer: as it is with --output json, otherwise by
/// `print_text` from the parsed body.
int PrintAnswer(Invocation& invocation, const CallResult& result,
                void (*print_text)(const boost::json::value&, std::ostream&));

/// A member of an object as text; empty when absent.
std::string MemberText(const boost::json::object& object, std::string_view key);

/// One `key: value` line per member, nested ones indented.
void PrintTree(const boost::json::value& value, std::ostream& out);

}  // namespace hemlockward::ctl
