#include "testing/allocation_counter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::size_t> allocations{0};
std::atomic<std::size_t> bytes_in_use{0};

}  // namespace

void* operator new(std::size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr)
    throw std::bad_alloc();
  ++allocations;
  bytes_in_use += malloc_usable_size(memory);
  return memory;
}

void operator delete(void* memory) noexcept {
  if (memory == nullptr)
    return;
  bytes_in_use -= malloc_usable_size(memory);
  std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept {
  operator delete(memory);
}

namespace limpetrudder::testbed {

std::size_t Allocations() {
  return allocations;
}

std::size_t BytesInUse() {
  return bytes_in_use;
}

}  // namespace limpetrudder::testbed
