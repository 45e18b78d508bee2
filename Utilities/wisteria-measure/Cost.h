// Processor time of this thread and heap memory of this process, for slopes.

#pragma once

#include <cstdint>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace Wisteria::Measure {

// Microseconds of processor time that this thread has used.
[[nodiscard]] inline double processorMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double perSecond = 1e6;
    constexpr double perNanosecond = 1e-3;
    return static_cast<double>(now.tv_sec) * perSecond + static_cast<double>(now.tv_nsec) * perNanosecond;
}

// Bytes in use on the heap.
[[nodiscard]] inline double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Bytes of this process that are in memory.
[[nodiscard]] inline double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double pages = 0;
    double resident = 0;
    statm >> pages >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

// Runs the work and returns its microseconds.
template <typename Work>
[[nodiscard]] double microsecondsOf(Work &&work)
{
    const double began = processorMicroseconds();
    work();
    return processorMicroseconds() - began;
}

} // namespace Wisteria::Measure
