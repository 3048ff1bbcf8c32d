#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace rwf {

// Left-aligned text columns under a row of titles.
class Table {
 public:
  explicit Table(std::vector<std::string> titles);

  // `row` has one cell per title.
  void AddRow(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace rwf
