/* A controller that is a core in a separate process (tools/core_server). Each input is a message to
 * the process's standard input; the process answers with all effects of the input.
 * tools/core_server/main.c describes the messages. */
#include "controller.h"
#include "words.h"
#include "world.h"
#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_HEADER_BYTES 512       /* size of the first line of a message, including the NUL */
#define REMOTE_ANSWER_TIMEOUT_S 60 /* real time; a message normally takes well under a second */
#define PROCESS_ENDED_ERROR "the process of the other version has ended or does not answer"
#define MALFORMED_ANSWER_ERROR                                                                     \
    "the process of the other version sent an answer that can't be parsed"

typedef struct {
    tw_simulator_controller base;
    pid_t process;
    int output;              /* socket to the process */
    FILE *input;             /* the same socket, buffered for reading */
    tw_effect *first_effect; /* effects that have not been returned yet */
    tw_effect **last_effect;
    uint64_t steps;
    double tick_s;
} remote_controller;

extern char **environ;

/* ---- the process ---- */

/* Starts the process. Returns 0 or an errno value. */
static int spawn_process(remote_controller *remote, const char *program) {
    int sockets[2];
    char *const arguments[] = {(char *)program, NULL};
    posix_spawn_file_actions_t actions;
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets)) return errno;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, sockets[1], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, sockets[1], STDOUT_FILENO);
    const int result = posix_spawn(&remote->process, program, &actions, NULL, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    close(sockets[1]);
    if (result) {
        close(sockets[0]);
        return result;
    }
    const struct timeval timeout = {.tv_sec = REMOTE_ANSWER_TIMEOUT_S};
    setsockopt(sockets[0], SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    remote->output = sockets[0];
    remote->input = fdopen(sockets[0], "r");
    if (!remote->input) abort();
    return 0;
}

/* Ends the process and frees the controller. The process exits at the end of its input; one that
 * has failed to answer is killed. */
static void free_controller(tw_simulator_controller *controller) {
    remote_controller *remote = (remote_controller *)controller;
    while (remote->first_effect) {
        tw_effect *effect = remote->first_effect;
        remote->first_effect = effect->next;
        tw_core_effect_free(effect);
    }
    fclose(remote->input);
    if (controller->failure) kill(remote->process, SIGKILL);
    while (waitpid(remote->process, NULL, 0) < 0 && errno == EINTR) continue;
    free(remote);
}

/* ---- messages ---- */

static void send_all(remote_controller *remote, const char *bytes, size_t size) {
    while (size && !remote->base.failure) {
        const ssize_t sent = send(remote->output, bytes, size, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) continue;
        if (sent < 0) {
            remote->base.failure = PROCESS_ENDED_ERROR;
            return;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
}

__attribute__((format(printf, 2, 3))) static void send_header(remote_controller *remote,
                                                              const char *format, ...) {
    char header[MAX_HEADER_BYTES];
    va_list arguments;
    va_start(arguments, format);
    const int size = vsnprintf(header, sizeof header, format, arguments);
    va_end(arguments);
    if (size < 0 || (size_t)size >= sizeof header) abort();
    send_all(remote, header, (size_t)size);
}

/* Reads a text of that length. Returns NULL for a negative length, and on a read error, which it
 * records as the failure. The caller frees the text. */
static char *read_text(remote_controller *remote, long size) {
    if (size < 0) return NULL;
    char *text = tw_simulator_allocate((size_t)size + 1);
    if (fread(text, 1, (size_t)size, remote->input) == (size_t)size) return text;
    remote->base.failure = PROCESS_ENDED_ERROR;
    free(text);
    return NULL;
}

/* Returns the method name as a static string, because it must outlive the effect, or NULL for an
 * unknown method. */
static const char *static_method_name(const char *name) {
    static const char *const names[] = {"GET", "POST", "PUT", "DELETE"};
    for (size_t i = 0; i < sizeof names / sizeof *names; i++)
        if (!strcmp(name, names[i])) return names[i];
    return NULL;
}

static void read_effect(remote_controller *remote, tw_simulator_reader reader) {
    tw_effect *effect = tw_simulator_allocate(sizeof *effect);
    char method[TW_SIMULATOR_NAME_SIZE];
    effect->kind = (int)tw_simulator_read_int(&reader);
    effect->id = tw_simulator_read_count(&reader);
    effect->status = (int)tw_simulator_read_int(&reader);
    effect->retry_after = tw_simulator_read_number(&reader);
    effect->to = (int)tw_simulator_read_int(&reader);
    effect->timeout_s = tw_simulator_read_number(&reader);
    tw_simulator_read_word(&reader, method, sizeof method);
    effect->method = static_method_name(method);
    const long address_size = tw_simulator_read_int(&reader),
               path_size = tw_simulator_read_int(&reader);
    const long body_size = tw_simulator_read_int(&reader);
    *remote->last_effect = effect;
    remote->last_effect = &effect->next;
    if (!tw_simulator_read_all(&reader)) {
        remote->base.failure = MALFORMED_ANSWER_ERROR;
        return;
    }
    char *address = read_text(remote, address_size);
    snprintf(effect->addr, sizeof effect->addr, "%s", address ? address : "");
    free(address);
    effect->path = read_text(remote, path_size);
    effect->body = read_text(remote, body_size);
}

/* Reads the effects and the final line of an answer. */
static void read_answer(remote_controller *remote) {
    char header[MAX_HEADER_BYTES];
    while (!remote->base.failure) {
        if (!fgets(header, sizeof header, remote->input)) {
            remote->base.failure = PROCESS_ENDED_ERROR;
            return;
        }
        const tw_simulator_reader effect = tw_simulator_read_line(header, "effect");
        if (!effect.failed) {
            read_effect(remote, effect);
            continue;
        }
        tw_simulator_reader done = tw_simulator_read_line(header, "done");
        remote->steps = tw_simulator_read_count(&done);
        remote->tick_s = tw_simulator_read_number(&done);
        if (!tw_simulator_read_all(&done)) remote->base.failure = MALFORMED_ANSWER_ERROR;
        return;
    }
}

/* ---- inputs ---- */

static void handle_request(tw_simulator_controller *controller, tw_simulator_clock clock, int port,
                           uint64_t connection, const char *method, const char *path,
                           const char *body) {
    remote_controller *remote = (remote_controller *)controller;
    const size_t path_size = strlen(path), body_size = strlen(body);
    send_header(remote, "request %a %a %d %" PRIu64 " %s %zu %zu\n", clock.steady, clock.wall, port,
                connection, method, path_size, body_size);
    send_all(remote, path, path_size);
    send_all(remote, body, body_size);
    read_answer(remote);
}

static void handle_response(tw_simulator_controller *controller, tw_simulator_clock clock,
                            uint64_t call, int status, const char *body) {
    remote_controller *remote = (remote_controller *)controller;
    const size_t size = strlen(body);
    send_header(remote, "response %a %a %" PRIu64 " %d %zu\n", clock.steady, clock.wall, call,
                status, size);
    send_all(remote, body, size);
    read_answer(remote);
}

static void handle_tick(tw_simulator_controller *controller, tw_simulator_clock clock) {
    remote_controller *remote = (remote_controller *)controller;
    send_header(remote, "tick %a %a\n", clock.steady, clock.wall);
    read_answer(remote);
}

/* ---- outputs ---- */

static tw_effect *next_effect(tw_simulator_controller *controller) {
    remote_controller *remote = (remote_controller *)controller;
    tw_effect *effect = remote->first_effect;
    if (!effect) return NULL;
    remote->first_effect = effect->next;
    if (!remote->first_effect) remote->last_effect = &remote->first_effect;
    effect->next = NULL;
    return effect;
}

static uint64_t pass_steps(const tw_simulator_controller *controller) {
    return ((const remote_controller *)controller)->steps;
}

static double tick_interval_s(const tw_simulator_controller *controller) {
    return ((const remote_controller *)controller)->tick_s;
}

static const tw_simulator_controller_methods remote_methods = {.request = handle_request,
                                                               .response = handle_response,
                                                               .tick = handle_tick,
                                                               .next = next_effect,
                                                               .steps = pass_steps,
                                                               .tick_s = tick_interval_s,
                                                               .free = free_controller};

tw_simulator_controller *
tw_simulator_new_remote_controller(const char *program,
                                   const tw_simulator_controller_options *options, char *error,
                                   size_t error_size) {
    remote_controller *remote = tw_simulator_allocate(sizeof *remote);
    remote->base.methods = &remote_methods;
    remote->last_effect = &remote->first_effect;
    const int result = spawn_process(remote, program);
    if (result) {
        snprintf(error, error_size, "%s: %s", program, strerror(result));
        free(remote);
        return NULL;
    }
    const size_t size = strlen(options->settings);
    send_header(remote, "new %a %a %" PRIu64 " %a %zu\n", options->clock.steady,
                options->clock.wall, options->seed, options->mem_mb, size);
    send_all(remote, options->settings, size);
    read_answer(remote);
    if (!remote->base.failure) return &remote->base;
    snprintf(error, error_size, "%s: %s", program, remote->base.failure);
    free_controller(&remote->base);
    return NULL;
}
