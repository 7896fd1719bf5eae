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
/* The sanitizer's allocator tells of each call; GCC has no header for that. */
int install_malloc_and_free_hooks(
    void (*on_malloc)(const volatile void *, size_t),
    void (*on_free)(const volatile void *)) __asm__("__sanitizer_install_malloc_and_free_hooks");

static void on_malloc(const volatile void *room, size_t size) {
    (void)room;
    (void)size;
    allocations++;
}
static void on_free(const volatile void *room) { (void)room; }

__attribute__((constructor)) static void count_allocations(void) {
    install_malloc_and_free_hooks(on_malloc, on_free);
}

double tw_bench_heap_bytes(void) { return NAN; }

#else

/* In front of the C library's own, also for calls from other libraries. */
void *libc_malloc(size_t size) __asm__("__libc_malloc");
void *libc_calloc(size_t count, size_t size) __asm__("__libc_calloc");
void *libc_realloc(void *room, size_t size) __asm__("__libc_realloc");

void *malloc(size_t size) {
    allocations++;
    return libc_malloc(size);
}

void *calloc(size_t count, size_t size) {
    allocations++;
    return libc_calloc(count, size);
}

void *realloc(void *room, size_t size) {
    allocations++;
    return libc_realloc(room, size);
}

double tw_bench_heap_bytes(void) {
    const struct mallinfo2 heap = mallinfo2();
    return (double)(heap.uordblks + heap.hblkhd);
}

#endif

/* ---- instructions ---- */

/* A descriptor of the hardware counter, or -1: there is none. */
static int instruction_counter(void) {
    static int counter = -2;
    struct perf_event_attr wanted;
    if (counter != -2) return counter;
    memset(&wanted, 0, sizeof wanted);
    wanted.type = PERF_TYPE_HARDWARE;
    wanted.size = sizeof wanted;
    wanted.config = PERF_COUNT_HW_INSTRUCTIONS;
    wanted.exclude_kernel = 1;
    wanted.exclude_hv = 1;
    counter = (int)syscall(SYS_perf_event_open, &wanted, 0, -1, -1, 0);
    if (counter < 0) counter = -1;
    return counter;
}

bool tw_bench_counts_instructions(void) { return instruction_counter() >= 0; }

static uint64_t instructions_now(void) {
    uint64_t count = 0;
    if (instruction_counter() < 0) return 0;
    return read(instruction_counter(), &count, sizeof count) == sizeof count ? count : 0;
}

/* ---- all of them ---- */

tw_bench_counters tw_bench_counters_now(void) {
    struct timespec time;
    tw_bench_counters now = {.allocations = allocations, .instructions = instructions_now()};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    now.seconds = (double)time.tv_sec + NANO * (double)time.tv_nsec;
    return now;
}
