#include <doctest/doctest.h>

#include "limits/path_and_store_faults.h"

namespace rwf {
namespace {

TEST_CASE(
    "Limit parts, faults of paths and of the store, stays "
    "within the bound and recovers, seeds 11 to 15") {
  CheckPathAndStoreFaults(11, 15);
}

}  // namespace
}  // namespace rwf
