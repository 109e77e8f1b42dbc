/* Holds back the monotonic clock of the process that loads this library, as a
 * suspension of the VM does. The clock that counts suspensions goes on. */

#define _GNU_SOURCE
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static volatile int64_t *held_ns;

__attribute__((constructor)) static void map_held_time(void) {
    const char *path = getenv("HELD_CLOCK_FILE");
    int file = path ? open(path, O_RDONLY) : -1;
    if (file < 0)
        abort();
    void *mapped = mmap(NULL, sizeof *held_ns, PROT_READ, MAP_SHARED, file, 0);
    if (mapped == MAP_FAILED)
        abort();
    held_ns = mapped;
    close(file);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && clock == CLOCK_MONOTONIC && held_ns) {
        int64_t now = time->tv_sec * INT64_C(1000000000) + time->tv_nsec;
        now -= *held_ns;
        time->tv_sec = now / 1000000000;
        time->tv_nsec = now % 1000000000;
    }
    return result;
}
