#include <doctest/doctest.h>

#include "limits/path_and_store_faults.h"

namespace rwf {
namespace {

TEST_CASE(
    "Limit parts, faults of paths and of the store, stays "
    "within the bound and recovers, seeds 1 to 5") {
  CheckPathAndStoreFaults(1, 5);
}

}  // namespace
}  // namespace rwf
