/* tw_core_server: runs one core in a separate process, driven by messages on standard input, so
 * that a simulation (simulator/controller_remote.c) can include nodes of the version that this
 * program is built with. It uses only functions that core/core.h has in every version, and exits at
 * the end of its input.
 *
 * A message is a line of words, followed by texts whose sizes in bytes are the last words of the
 * line. STEADY and WALL are the times of the monotonic and of the wall clock, in seconds. Times are
 * hexadecimal floating-point numbers, so that they are transferred exactly:
 *
 *   new STEADY WALL SEED MEM_MB SIZE                       settings follow; MEM_MB 0: the memory
 *                                                          limit is taken from the settings
 *   request STEADY WALL PORT CONN METHOD SIZE SIZE         path and body follow
 *   response STEADY WALL CALL STATUS SIZE                  body follows
 *   tick STEADY WALL
 *
 * The first message must be `new`, which may not be repeated. The answer to each message is a list
 * of the resulting effects, ended by a `done` line:
 *
 *   effect KIND ID STATUS RETRY_AFTER TO TIMEOUT_S METHOD SIZE SIZE SIZE
 *                           address, path and body follow; size -1 or METHOD -: field not present
 *   done STEPS TICK_S       results of tw_core_pass_steps and tw_core_tick_s */
#include "core/core.h"
#ifdef TW_CORE_EARLIER
#include "earlier_names.h"
#endif
#include "log/log.h"
#include "words.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_LINE = 512, MAX_ERROR = 500, MAX_METHOD = 16, EXIT_PROTOCOL = 64, EXIT_SETTINGS = 2 };

static _Noreturn void fail(const char *why, const char *detail, int code) {
    fprintf(stderr, "tw_core_server: %s: %s\n", why, detail);
    exit(code);
}

static char *read_text(size_t size) {
    char *text = calloc(1, size + 1);
    if (!text) abort();
    if (fread(text, 1, size, stdin) != size)
        fail("input truncated", "end of file within a text", EXIT_PROTOCOL);
    return text;
}

static long text_size(const char *text) { return text ? (long)strlen(text) : -1; }

static void write_text(const char *text) {
    if (text) fwrite(text, 1, strlen(text), stdout);
}

static void write_effects(tw_core *core) {
    tw_effect *effect;
    while ((effect = tw_core_next_effect(core))) {
        printf("effect %d %" PRIu64 " %d %a %d %a %s %ld %ld %ld\n", effect->kind, effect->id,
               effect->status, effect->retry_after, effect->to, effect->timeout_s,
               effect->method ? effect->method : "-", text_size(effect->addr),
               text_size(effect->path), text_size(effect->body));
        write_text(effect->addr);
        write_text(effect->path);
        write_text(effect->body);
        tw_core_effect_free(effect);
    }
    printf("done %" PRIu64 " %a\n", tw_core_pass_steps(core), tw_core_tick_s(core));
    fflush(stdout);
}

/* Reads the steady and wall clock times at the start of a message. */
static void read_times(tw_simulator_reader *reader, double *steady, double *wall) {
    *steady = tw_simulator_read_number(reader);
    *wall = tw_simulator_read_number(reader);
}

/* Creates the core from a `new` message. Returns NULL if the line is not a valid `new` message.
 * Exits if the settings are invalid. */
static tw_core *handle_new(const char *line, tw_config *config) {
    double steady, wall;
    char error[MAX_ERROR];
    tw_simulator_reader reader = tw_simulator_read_line(line, "new");
    read_times(&reader, &steady, &wall);
    const uint64_t seed = tw_simulator_read_count(&reader);
    const double mem_mb = tw_simulator_read_number(&reader);
    const size_t size = tw_simulator_read_count(&reader);
    if (!tw_simulator_read_all(&reader)) return NULL;
    char *settings = read_text(size);
    if (tw_config_parse(config, settings, error, sizeof error))
        fail("invalid settings", error, EXIT_SETTINGS);
    free(settings);
    if (mem_mb > 0) config->mem_mb = mem_mb;
    return tw_core_new(config, seed, steady, wall);
}

static int handle_request(const char *line, tw_core *core) {
    double steady, wall;
    char method[MAX_METHOD];
    tw_simulator_reader reader = tw_simulator_read_line(line, "request");
    read_times(&reader, &steady, &wall);
    const int port = (int)tw_simulator_read_int(&reader);
    const uint64_t connection = tw_simulator_read_count(&reader);
    tw_simulator_read_word(&reader, method, sizeof method);
    const size_t path_size = tw_simulator_read_count(&reader),
                 body_size = tw_simulator_read_count(&reader);
    if (!tw_simulator_read_all(&reader)) return 0;
    char *path = read_text(path_size), *body = read_text(body_size);
    tw_core_request(core, steady, wall, port, connection, method, path, body, body_size);
    free(path);
    free(body);
    return 1;
}

static int handle_response(const char *line, tw_core *core) {
    double steady, wall;
    tw_simulator_reader reader = tw_simulator_read_line(line, "response");
    read_times(&reader, &steady, &wall);
    const uint64_t call = tw_simulator_read_count(&reader);
    const int status = (int)tw_simulator_read_int(&reader);
    const size_t size = tw_simulator_read_count(&reader);
    if (!tw_simulator_read_all(&reader)) return 0;
    char *body = read_text(size);
    tw_core_response(core, steady, wall, call, status, body, size);
    free(body);
    return 1;
}

static int handle_tick(const char *line, tw_core *core) {
    double steady, wall;
    tw_simulator_reader reader = tw_simulator_read_line(line, "tick");
    read_times(&reader, &steady, &wall);
    if (!tw_simulator_read_all(&reader)) return 0;
    tw_core_tick(core, steady, wall);
    return 1;
}

int main(void) {
    char line[MAX_LINE];
    const char *level = getenv("LOG_LEVEL");
    tw_config config;
    tw_log_init(level ? level : "error", "core_server");
    if (!fgets(line, sizeof line, stdin)) return 0;
    tw_core *core = handle_new(line, &config);
    if (!core) fail("malformed message", line, EXIT_PROTOCOL);
    write_effects(core);
    while (fgets(line, sizeof line, stdin)) {
        if (!handle_request(line, core) && !handle_response(line, core) && !handle_tick(line, core))
            fail("malformed message", line, EXIT_PROTOCOL);
        write_effects(core);
    }
    tw_core_free(core);
    tw_config_free(&config);
    return 0;
}
