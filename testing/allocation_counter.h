#ifndef TESTING_ALLOCATION_COUNTER_H_
#define TESTING_ALLOCATION_COUNTER_H_

#include <cstddef>

namespace limpetrudder::testbed {

// Number of allocations made and bytes in use by this process. Counted only in
// programs that link allocation_counter.cc. Thread safe.
std::size_t Allocations();
std::size_t BytesInUse();

}  // namespace limpetrudder::testbed

#endif  // TESTING_ALLOCATION_COUNTER_H_
