/* Runs days in a pool of worker processes, each of which runs one day at a time. A day that crashes
 * its process or exceeds its processor time gives a result, too, and the process is replaced. */
#include "run.h"
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum { SHRINK_RUNS_MAX = 4000, COMMENT_SIZE = 1000 };

typedef struct {
    uint32_t seed;
    bool shrink;
} pool_request;

typedef struct {
    pid_t process;
    int requests, results; /* the parent's ends of the pipes */
    bool busy;
    pool_request request;
} pool_worker;

struct tw_fuzz_pool {
    pool_worker *workers;
    unsigned count;
    tw_fuzz_draw_function *draw;
    char directory[512];
};

/* ---- functions that run in a worker process ---- */

static void write_shrunk_day(const char *directory, const tw_fuzz_day *day,
                             tw_fuzz_result *result) {
    char comment[COMMENT_SIZE];
    const tw_simulator_violation violation = tw_fuzz_violation_to_shrink(&result->verdict);
    snprintf(result->path, sizeof result->path, "%s/%s-%u.txt", directory, violation.rule,
             result->seed);
    snprintf(comment, sizeof comment, "# %s: drawn from seed %u and shrunk.\n# %.500s\n",
             violation.rule, result->seed, violation.detail);
    if (tw_fuzz_day_write(day, comment, result->path)) *result->path = 0;
}

static void process_request(const pool_request *request, tw_fuzz_draw_function *draw,
                            const char *directory, tw_fuzz_result *result) {
    tw_fuzz_day day = {0};
    memset(result, 0, sizeof *result);
    result->seed = request->seed;
    result->shrunk = request->shrink;
    draw(request->seed, &day);
    if (!request->shrink) {
        tw_fuzz_limit_cpu_time();
        tw_fuzz_run_day(&day, &result->verdict);
    } else {
        tw_fuzz_run_day_in_child(&day, &result->verdict);
        const tw_simulator_violation violation = tw_fuzz_violation_to_shrink(&result->verdict);
        const bool by_this_version = *tw_fuzz_this_version_violation(&result->verdict).rule != 0;
        result->runs = tw_fuzz_shrink(&day, violation.rule, by_this_version, SHRINK_RUNS_MAX,
                                      &result->verdict);
        result->lines = (unsigned)day.count;
        if (*violation.rule) write_shrunk_day(directory, &day, result);
    }
    tw_fuzz_day_free(&day);
}

static _Noreturn void run_worker(int requests, int results, const tw_fuzz_pool *pool,
                                 pid_t parent) {
    pool_request request;
    tw_fuzz_result result;
    signal(SIGINT, SIG_IGN); /* the parent handles it and kills the workers */
    signal(SIGTERM, SIG_DFL);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(0);
    while (read(requests, &request, sizeof request) == (ssize_t)sizeof request) {
        process_request(&request, pool->draw, pool->directory, &result);
        if (write(results, &result, sizeof result) != (ssize_t)sizeof result) break;
    }
    _exit(0);
}

/* ---- functions that run in the parent process ---- */

static int start_worker(pool_worker *worker, const tw_fuzz_pool *pool) {
    int requests[2], results[2];
    const pid_t parent = getpid();
    if (pipe(requests)) return -1;
    if (pipe(results)) {
        close(requests[0]);
        close(requests[1]);
        return -1;
    }
    worker->process = fork();
    if (!worker->process) {
        close(requests[1]);
        close(results[0]);
        run_worker(requests[0], results[1], pool, parent);
    }
    close(requests[0]);
    close(results[1]);
    worker->requests = requests[1];
    worker->results = results[0];
    worker->busy = false;
    if (worker->process > 0) return 0;
    close(requests[1]);
    close(results[0]);
    return -1;
}

/* Closes the pipes of a worker, waits for its process to end and returns the wait status. */
static int end_worker(pool_worker *worker) {
    int status = 0;
    close(worker->requests);
    close(worker->results);
    while (waitpid(worker->process, &status, 0) < 0 && errno == EINTR) continue;
    return status;
}

tw_fuzz_pool *tw_fuzz_pool_new(unsigned workers, tw_fuzz_draw_function *draw,
                               const char *directory) {
    tw_fuzz_pool *pool = calloc(1, sizeof *pool);
    if (!pool) abort();
    pool->workers = calloc(workers, sizeof *pool->workers);
    if (!pool->workers) abort();
    pool->draw = draw;
    snprintf(pool->directory, sizeof pool->directory, "%s", directory);
    while (pool->count < workers && !start_worker(&pool->workers[pool->count], pool)) pool->count++;
    if (pool->count) return pool;
    tw_fuzz_pool_free(pool);
    return NULL;
}

unsigned tw_fuzz_pool_busy(const tw_fuzz_pool *pool) {
    unsigned busy = 0;
    for (unsigned i = 0; i < pool->count; i++) busy += (unsigned)pool->workers[i].busy;
    return busy;
}

unsigned tw_fuzz_pool_idle(const tw_fuzz_pool *pool) {
    return pool->count - tw_fuzz_pool_busy(pool);
}

void tw_fuzz_pool_submit(tw_fuzz_pool *pool, uint32_t seed, bool shrink) {
    for (unsigned i = 0; i < pool->count; i++) {
        pool_worker *idle = &pool->workers[i];
        if (idle->busy) continue;
        memset(&idle->request, 0, sizeof idle->request);
        idle->request.seed = seed;
        idle->request.shrink = shrink;
        idle->busy = true;
        if (write(idle->requests, &idle->request, sizeof idle->request) ==
            (ssize_t)sizeof idle->request)
            return;
        idle->busy = false;
    }
}

/* Reads the result of a worker. If the process ended without one, stores a verdict with its exit
 * status and replaces the process; if that fails, the pool continues with one worker less. */
static void receive_result(tw_fuzz_pool *pool, pool_worker *worker, tw_fuzz_result *result) {
    worker->busy = false;
    if (read(worker->results, result, sizeof *result) == (ssize_t)sizeof *result) return;
    memset(result, 0, sizeof *result);
    result->seed = worker->request.seed;
    result->shrunk = worker->request.shrink;
    tw_fuzz_set_exit_verdict(end_worker(worker), &result->verdict);
    if (start_worker(worker, pool)) *worker = pool->workers[--pool->count];
}

bool tw_fuzz_pool_wait(tw_fuzz_pool *pool, int milliseconds, tw_fuzz_result *result) {
    struct pollfd descriptors[pool->count];
    unsigned indexes[pool->count], count = 0;
    for (unsigned i = 0; i < pool->count; i++) {
        if (!pool->workers[i].busy) continue;
        descriptors[count] = (struct pollfd){.fd = pool->workers[i].results, .events = POLLIN};
        indexes[count++] = i;
    }
    if (!count || poll(descriptors, count, milliseconds) <= 0) return false;
    for (unsigned i = 0; i < count; i++) {
        if (!descriptors[i].revents) continue;
        receive_result(pool, &pool->workers[indexes[i]], result);
        return true;
    }
    return false;
}

void tw_fuzz_pool_free(tw_fuzz_pool *pool) {
    for (unsigned i = 0; i < pool->count; i++) {
        kill(pool->workers[i].process, SIGKILL);
        end_worker(&pool->workers[i]);
    }
    free(pool->workers);
    free(pool);
}
