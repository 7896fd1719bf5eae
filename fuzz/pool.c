/* Plays days in processes of their own, one each at a time. A day that ends its process, or uses up
 * its time, is a result like any other; another process takes the place of the one that ended. */
#include "play.h"
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

enum { SHRINK_PLAYS_MAX = 4000, COMMENT_SIZE = 1000 };

typedef struct {
    uint32_t seed;
    bool shrink;
} pool_request;

typedef struct {
    pid_t process;
    int requests, results; /* our ends of its pipes */
    bool busy;
    pool_request given;
} pool_worker;

struct tw_fuzz_pool {
    pool_worker *workers;
    unsigned count;
    tw_fuzz_draw_function *draw;
    char directory[512];
};

/* ---- in the worker ---- */

static void write_shrunk(const char *directory, const tw_fuzz_day *day, tw_fuzz_result *result) {
    char comment[COMMENT_SIZE];
    const tw_simulator_violation broken = tw_fuzz_chosen_break(&result->verdict);
    snprintf(result->path, sizeof result->path, "%s/%s-%u.txt", directory, broken.rule,
             result->seed);
    snprintf(comment, sizeof comment, "# %s: drawn from seed %u and shrunk.\n# %.500s\n",
             broken.rule, result->seed, broken.detail);
    if (tw_fuzz_day_write(day, comment, result->path)) *result->path = 0;
}

static void play_request(const pool_request *given, tw_fuzz_draw_function *draw,
                         const char *directory, tw_fuzz_result *result) {
    tw_fuzz_day day = {0};
    memset(result, 0, sizeof *result);
    result->seed = given->seed;
    result->shrunk = given->shrink;
    draw(given->seed, &day);
    if (!given->shrink) {
        tw_fuzz_limit_time();
        tw_fuzz_play(&day, &result->verdict);
    } else {
        tw_fuzz_play_apart(&day, &result->verdict);
        const tw_simulator_violation broken = tw_fuzz_chosen_break(&result->verdict);
        const bool own = *tw_fuzz_own_break(&result->verdict).rule != 0;
        result->plays = tw_fuzz_shrink(&day, broken.rule, own, SHRINK_PLAYS_MAX, &result->verdict);
        result->lines = (unsigned)day.count;
        if (*broken.rule) write_shrunk(directory, &day, result);
    }
    tw_fuzz_day_free(&day);
}

static _Noreturn void run_worker(int requests, int results, const tw_fuzz_pool *pool,
                                 pid_t parent) {
    pool_request given;
    tw_fuzz_result result;
    signal(SIGINT, SIG_IGN); /* the parent ends us */
    signal(SIGTERM, SIG_DFL);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(0);
    while (read(requests, &given, sizeof given) == (ssize_t)sizeof given) {
        play_request(&given, pool->draw, pool->directory, &result);
        if (write(results, &result, sizeof result) != (ssize_t)sizeof result) break;
    }
    _exit(0);
}

/* ---- in the parent ---- */

static int start_worker(pool_worker *started, const tw_fuzz_pool *pool) {
    int requests[2], results[2];
    const pid_t parent = getpid();
    if (pipe(requests)) return -1;
    if (pipe(results)) {
        close(requests[0]);
        close(requests[1]);
        return -1;
    }
    started->process = fork();
    if (!started->process) {
        close(requests[1]);
        close(results[0]);
        run_worker(requests[0], results[1], pool, parent);
    }
    close(requests[0]);
    close(results[1]);
    started->requests = requests[1];
    started->results = results[0];
    started->busy = false;
    if (started->process > 0) return 0;
    close(requests[1]);
    close(results[0]);
    return -1;
}

/* How the worker ended. */
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

void tw_fuzz_pool_give(tw_fuzz_pool *pool, uint32_t seed, bool shrink) {
    for (unsigned i = 0; i < pool->count; i++) {
        pool_worker *idle = &pool->workers[i];
        if (idle->busy) continue;
        memset(&idle->given, 0, sizeof idle->given);
        idle->given.seed = seed;
        idle->given.shrink = shrink;
        idle->busy = true;
        if (write(idle->requests, &idle->given, sizeof idle->given) == (ssize_t)sizeof idle->given)
            return;
        idle->busy = false;
    }
}

/* The result of a worker, or what ended it. */
static void take_result(tw_fuzz_pool *pool, pool_worker *from, tw_fuzz_result *result) {
    from->busy = false;
    if (read(from->results, result, sizeof *result) == (ssize_t)sizeof *result) return;
    memset(result, 0, sizeof *result);
    result->seed = from->given.seed;
    result->shrunk = from->given.shrink;
    tw_fuzz_ended_by(end_worker(from), &result->verdict);
    if (start_worker(from, pool)) *from = pool->workers[--pool->count];
}

bool tw_fuzz_pool_wait(tw_fuzz_pool *pool, int milliseconds, tw_fuzz_result *result) {
    struct pollfd waiting[pool->count];
    unsigned of[pool->count], count = 0;
    for (unsigned i = 0; i < pool->count; i++) {
        if (!pool->workers[i].busy) continue;
        waiting[count] = (struct pollfd){.fd = pool->workers[i].results, .events = POLLIN};
        of[count++] = i;
    }
    if (!count || poll(waiting, count, milliseconds) <= 0) return false;
    for (unsigned i = 0; i < count; i++) {
        if (!waiting[i].revents) continue;
        take_result(pool, &pool->workers[of[i]], result);
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
