#ifndef TESTING_ALLOCATION_COUNTER_H_
#define TESTING_ALLOCATION_COUNTER_H_

#include <cstddef>

namespace limpetrudder::testbed {

// What this process has allocated. The program that includes
// allocation_counter.cc counts; thread safe.
std::size_t Allocations();
std::size_t BytesInUse();

}  // namespace limpetrudder::testbed

#endif  // TESTING_ALLOCATION_COUNTER_H_
