#include "rwf/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <ostream>
#include <utility>

namespace rwf {

Table::Table(std::vector<std::string> titles) : rows_{std::move(titles)} {}

void Table::AddRow(std::vector<std::string> row) {
  assert(row.size() == rows_.front().size());
  rows_.push_back(std::move(row));
}

void Table::Print(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i)
      line += fmt::format("{:<{}}", row[i], widths[i] + 2);
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

}  // namespace rwf
