#include "cicadalb/transport/ProcessLimits.h"

#include <unistd.h>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace cicadalb {

std::size_t messageCapacity(std::size_t processBytes)
{
    if (processBytes == 0)
        processBytes = static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    return processBytes / 2;
}

void configureAllocator()
{
#ifdef __GLIBC__
    // glibc raises this threshold with each larger block that is released, and keeps blocks below it in the heap.
    constexpr int mappedBlockBytes = 256 << 10;
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
#endif
}

} // namespace cicadalb
