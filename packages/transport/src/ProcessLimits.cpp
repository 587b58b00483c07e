#include "cicadalb/transport/ProcessLimits.h"

#include <algorithm>
#include <sys/resource.h>
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

ConnectionLimits connectionLimits(std::size_t descriptors)
{
    constexpr std::size_t maximumCallers = 10000;
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        descriptors = descriptors == 0 ? limit.rlim_cur : std::min<std::size_t>(descriptors, limit.rlim_cur);
    else if (descriptors == 0)
        descriptors = 2 * maximumCallers;
    return { std::clamp<std::size_t>(descriptors / 2, 1, maximumCallers), std::max<std::size_t>(1, descriptors / 8), std::max<std::size_t>(1, descriptors / 16) };
}

void configureAllocator()
{
#ifdef __GLIBC__
    // By default, glibc raises both thresholds with each larger block that is released, up to 32 and 64 MiB.
    constexpr int mappedBlockBytes = 2 << 20;
    constexpr int keptBytes = 8 << 20;
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptBytes);
#endif
}

} // namespace cicadalb
