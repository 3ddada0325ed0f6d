#pragma once

#include <cstddef>
#include <string_view>
#include <tl/expected.hpp>

#include "base/findings.h"
#include "base/fleet.h"

/// A team's document: the YAML text in which it states what its service needs.
namespace hemlockward::control {

inline constexpr std::size_t kMaxDocumentBytes = 64 * 1024;

/// Parses and checks `text` alone. On success every field is in range and
/// `source` holds the text; otherwise all findings with their places in `file`.
tl::expected<base::ServiceDocument, base::Findings> ParseDocument(
    std::string_view text, std::string_view file);

/// Checks an accepted `document` against the other teams' documents and the
/// VMs of `view`; its own team's former document is left out. Places refer to
/// `document.source`.
base::Findings CheckAgainstFleet(const base::ServiceDocument& document,
                                 const base::FleetView& view,
                                 std::string_view file);

}  // namespace hemlockward::control
