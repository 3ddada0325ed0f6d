#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Texts in the store that may be longer than one of its rows.
namespace hemlockward::jobs {

/// A text that is longer than a row may be continues in rows whose keys follow
/// that of the first one. Its first row then begins with the number of rows.
struct TextRow {
  std::string key;
  std::string value;
};
/// `row_bytes`: longest value of a row. A text has at most 100 rows.
std::vector<TextRow> SplitIntoRows(std::string_view key, std::string text,
                                   std::size_t row_bytes);
/// The key of row `number` of a text, counted from 0.
std::string RowKey(std::string_view key, std::size_t number);

/// The key of the text that a row belongs to. Such keys contain no dot.
inline std::string_view TextKey(std::string_view row_key) {
  return row_key.substr(0, row_key.find('.'));
}

/// A text that was read from its rows.
struct JoinedText {
  std::string key;
  std::string text;
  std::size_t rows = 1;
};

/// Joins the rows of texts, which are read in the order of their keys.
class RowJoiner {
 public:
  /// Returns the text that ends with this row. Rows of an incomplete text are
  /// skipped.
  std::optional<JoinedText> Add(std::string_view key, std::string_view value);

 private:
  JoinedText joined_;
  std::size_t rows_read_ = 0;
};

}  // namespace hemlockward::jobs
