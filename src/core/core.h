/* The scheduler's core: a state machine. Inputs (requests, responses, ticks) go in with the time;
 * effects (replies to give, calls to make) come out. It does no I/O, reads no clock and has no
 * global state, so that a test can drive it through any order of events.
 *
 * now is the time of the steady clock in seconds, which never goes back; wall is the time of day in
 * seconds. A core is used by one thread at a time. */
#ifndef TW_CORE_H
#define TW_CORE_H
#include "config/config.h"
#include "context/context.h"
#include <stddef.h>
#include <stdint.h>

typedef struct tw_core tw_core;

/* Where a request came in. */
typedef enum {
    TW_PORT_API, /* from users, workers and health checks */
    TW_PORT_PEER /* from other nodes */
} tw_port;

/* A node that knows nothing and does not lead. config: not owned; it must outlive the core. seed:
 * of the random numbers. Freed with tw_core_free. */
tw_core *tw_core_new(const tw_config *config, uint64_t seed, double now, double wall);
/* Effects that were not taken are freed with the core. */
void tw_core_free(tw_core *core);

/* ---- inputs ---- */

/* A request, to be answered by a reply to that connection. path may have a query. body: length
 * bytes; the strings are not kept. */
void tw_core_request(tw_core *core, double now, double wall, tw_port port, uint64_t connection,
                     const char *method, const char *path, const char *body, size_t length);
/* The response to the call with that id; status 0: none came. A call that isn't known is passed
 * over. */
void tw_core_response(tw_core *core, double now, double wall, uint64_t call, int status,
                      const char *body, size_t length);
/* Timed work. Called every tw_core_tick_s. */
void tw_core_tick(tw_core *core, double now, double wall);
/* Seconds between ticks that the core needs. */
double tw_core_tick_s(const tw_core *core);

/* ---- effects ---- */

/* The next effect, which the caller frees with tw_core_effect_free; NULL: there is none. To be
 * taken until then after each input. */
tw_effect *tw_core_next_effect(tw_core *core);
void tw_core_effect_free(tw_effect *effect);

/* ---- what tests and logs ask ---- */

/* Machines and bins looked at in passes over the fleet so far: what their cost grows with. */
uint64_t tw_core_pass_steps(const tw_core *core);
/* Invariants that were broken so far: faults of this program, each logged as an error. */
uint64_t tw_core_broken_invariants(const tw_core *core);
/* Logs at `debug` how many attempts ended by which evidence, what was rejected, and how many
 * invariants were broken. */
void tw_core_log_counters(const tw_core *core);

#endif
