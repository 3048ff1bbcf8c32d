#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace rwf {

// Columns of text, aligned at the left, under one line of titles.
class Table {
 public:
  explicit Table(std::vector<std::string> titles);

  // One text for each title.
  void AddRow(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace rwf
