/* The scheduler's core: a state machine. Inputs (requests, responses, ticks) go in with the time;
 * effects (replies to give, calls to make) come out. It does no I/O, reads no clock and has no
 * global state, so that a test can drive it through any order of events. */
#ifndef TW_CORE_H
#define TW_CORE_H
#include "config/config.h"
#include "context/context.h"
#include <stddef.h>
#include <stdint.h>

typedef struct tw_core tw_core;

/* Where a request came in: users, workers and health checks; other nodes. */
typedef enum { TW_PORT_API, TW_PORT_PEER } tw_port;
/* now: steady seconds; wall: time of day in seconds. */
tw_core *tw_core_new(const tw_config *config, uint64_t seed, double now, double wall);
void tw_core_free(tw_core *core);
void tw_core_request(tw_core *core, double now, double wall, tw_port port, uint64_t connection,
                     const char *method, const char *path, const char *body, size_t len);
/* status 0: no response. */
void tw_core_response(tw_core *core, double now, double wall, uint64_t call, int status,
                      const char *body, size_t len);
void tw_core_tick(tw_core *core, double now, double wall);
/* The next effect, or NULL; free it with tw_core_effect_free. */
tw_effect *tw_core_next_effect(tw_core *core);
void tw_core_effect_free(tw_effect *effect);
/* Machines and bins looked at in passes over the fleet so far: what their cost grows with. */
uint64_t tw_core_pass_steps(const tw_core *core);
/* Invariants that were broken so far: faults of this program, each logged as an error. */
uint64_t tw_core_broken_invariants(const tw_core *core);
/* Logs at `debug` how many attempts ended on which ground, what was refused, what was broken. */
void tw_core_log_counters(const tw_core *core);
/* Seconds between ticks that the core needs. */
double tw_core_tick_s(const tw_core *core);

#endif
