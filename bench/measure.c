/* Counters of the process: processor time, allocations, instructions. */
#include "bench.h"
#include <linux/perf_event.h>
#include <malloc.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define NANO 1e-9

static uint64_t allocations;

/* ---- allocations ---- */

#ifdef __SANITIZE_ADDRESS__
/* The address sanitizer's allocator calls these hooks; GCC has no header that declares them. */
int install_malloc_and_free_hooks(
    void (*on_malloc)(const volatile void *, size_t),
    void (*on_free)(const volatile void *)) __asm__("__sanitizer_install_malloc_and_free_hooks");

static void on_malloc(const volatile void *block, size_t size) {
    (void)block;
    (void)size;
    allocations++;
}
static void on_free(const volatile void *block) { (void)block; }

__attribute__((constructor)) static void count_allocations(void) {
    install_malloc_and_free_hooks(on_malloc, on_free);
}

double tw_bench_heap_bytes(void) { return NAN; }

#else

/* The functions below replace malloc, calloc and realloc, also for calls from other libraries, and
 * pass each call on to the C library's allocator. */
void *libc_malloc(size_t size) __asm__("__libc_malloc");
void *libc_calloc(size_t count, size_t size) __asm__("__libc_calloc");
void *libc_realloc(void *block, size_t size) __asm__("__libc_realloc");

void *malloc(size_t size) {
    allocations++;
    return libc_malloc(size);
}

void *calloc(size_t count, size_t size) {
    allocations++;
    return libc_calloc(count, size);
}

void *realloc(void *block, size_t size) {
    allocations++;
    return libc_realloc(block, size);
}

double tw_bench_heap_bytes(void) {
    const struct mallinfo2 heap = mallinfo2();
    return (double)(heap.uordblks + heap.hblkhd);
}

#endif

/* ---- instructions ---- */

/* Returns the descriptor of the hardware instruction counter, opened at the first call, or -1 if
 * the machine has none. */
static int instruction_counter(void) {
    static int counter = -2;
    struct perf_event_attr attributes;
    if (counter != -2) return counter;
    memset(&attributes, 0, sizeof attributes);
    attributes.type = PERF_TYPE_HARDWARE;
    attributes.size = sizeof attributes;
    attributes.config = PERF_COUNT_HW_INSTRUCTIONS;
    attributes.exclude_kernel = 1;
    attributes.exclude_hv = 1;
    counter = (int)syscall(SYS_perf_event_open, &attributes, 0, -1, -1, 0);
    if (counter < 0) counter = -1;
    return counter;
}

bool tw_bench_counts_instructions(void) { return instruction_counter() >= 0; }

static uint64_t instructions_now(void) {
    uint64_t count = 0;
    if (instruction_counter() < 0) return 0;
    return read(instruction_counter(), &count, sizeof count) == sizeof count ? count : 0;
}

/* ---- snapshot of all counters ---- */

tw_bench_counters tw_bench_counters_now(void) {
    struct timespec time;
    tw_bench_counters now = {.allocations = allocations, .instructions = instructions_now()};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    now.seconds = (double)time.tv_sec + NANO * (double)time.tv_nsec;
    return now;
}
