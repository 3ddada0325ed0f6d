#include "jobs/text_rows.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hemlockward::jobs {

namespace {

// Fixed widths keep the order of the keys that of the numbers, and the length
// of the first row independent of their count.
std::string Padded(std::size_t number, std::size_t width) {
  std::string digits = std::to_string(number);
  return std::string(width - std::min(width, digits.size()), '0') + digits;
}

}  // namespace

std::string RowKey(std::string_view key, std::size_t number) {
  if (number == 0) return std::string(key);
  return std::string(key) + '.' + Padded(number, 2);
}

std::vector<TextRow> SplitIntoRows(std::string_view key, std::string text,
                                   std::size_t row_bytes) {
  std::vector<TextRow> rows;
  if (text.size() <= row_bytes) {
    rows.push_back({std::string(key), std::move(text)});
    return rows;
  }
  constexpr std::size_t kCountWidth = 3;
  const std::size_t bytes = text.size() + kCountWidth + 1;
  const std::size_t n = (bytes + row_bytes - 1) / row_bytes;
  const std::string whole = Padded(n, kCountWidth) + "\n" + text;
  for (std::size_t i = 0; i < n; ++i) {
    rows.push_back({RowKey(key, i), whole.substr(i * row_bytes, row_bytes)});
  }
  return rows;
}

std::optional<JoinedText> RowJoiner::Add(std::string_view key,
                                         std::string_view value) {
  const bool continues =
      rows_read_ > 0 && key == RowKey(joined_.key, rows_read_);
  if (!continues) {
    joined_ = {std::string(key), std::string(value), 1};
    rows_read_ = 1;
    // Texts begin with a letter or a brace.
    const std::size_t line = value.find('\n');
    std::size_t n = 0;
    const auto [end, ec] =
        std::from_chars(value.data(), value.data() + value.size(), n);
    const bool is_head = ec == std::errc() && line != std::string_view::npos &&
                         end == value.data() + line;
    if (is_head && n > 1) {
      joined_.rows = n;
      joined_.text.erase(0, line + 1);
    }
  } else {
    joined_.text += value;
    ++rows_read_;
  }
  if (rows_read_ < joined_.rows) return std::nullopt;
  rows_read_ = 0;
  return std::exchange(joined_, {});
}

}  // namespace hemlockward::jobs
