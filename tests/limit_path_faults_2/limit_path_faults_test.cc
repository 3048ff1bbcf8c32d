#include <doctest/doctest.h>

#include "limits/path_and_store_faults.h"

namespace rwf {
namespace {

TEST_CASE(
    "Limit parts, faults of paths and of the store, stays "
    "within the bound and recovers, seeds 6 to 10") {
  CheckPathAndStoreFaults(6, 10);
}

}  // namespace
}  // namespace rwf
