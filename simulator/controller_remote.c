/* A controller that is a core in a process of its own (tools/core_server). Each input is a message
 * on the process's standard input; it answers with all effects that the input had. The messages
 * stand in tools/core_server/main.c. */
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

#define MAX_HEAD 512       /* longest first line of a message */
#define ANSWER_WITHIN_S 60 /* of real time; a message takes well under a second */
#define ENDED "the process of the other version has ended or does not answer"
#define NOT_UNDERSTOOD "the process of the other version gave an answer that has no meaning"

typedef struct {
    tw_simulator_controller base;
    pid_t process;
    int to;           /* socket to the process */
    FILE *from;       /* the same for reading */
    tw_effect *first; /* effects that nobody has taken yet */
    tw_effect **last;
    uint64_t steps;
    double tick_s;
} remote_controller;

extern char **environ;

/* ---- the process ---- */

/* 0, or the number of an error. */
static int spawn(remote_controller *remote, const char *program) {
    int ends[2];
    char *const arguments[] = {(char *)program, NULL};
    posix_spawn_file_actions_t actions;
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends)) return errno;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    const int result = posix_spawn(&remote->process, program, &actions, NULL, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    if (result) {
        close(ends[0]);
        return result;
    }
    const struct timeval patience = {.tv_sec = ANSWER_WITHIN_S};
    setsockopt(ends[0], SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    remote->to = ends[0];
    remote->from = fdopen(ends[0], "r");
    if (!remote->from) abort();
    return 0;
}

/* The process ends when its input does, unless it has failed to answer. */
static void end(tw_simulator_controller *controller) {
    remote_controller *remote = (remote_controller *)controller;
    while (remote->first) {
        tw_effect *effect = remote->first;
        remote->first = effect->next;
        tw_core_effect_free(effect);
    }
    fclose(remote->from);
    if (controller->failure) kill(remote->process, SIGKILL);
    while (waitpid(remote->process, NULL, 0) < 0 && errno == EINTR) continue;
    free(remote);
}

/* ---- messages ---- */

static void send_all(remote_controller *remote, const char *bytes, size_t size) {
    while (size && !remote->base.failure) {
        const ssize_t sent = send(remote->to, bytes, size, MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) continue;
        if (sent < 0) {
            remote->base.failure = ENDED;
            return;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
}

__attribute__((format(printf, 2, 3))) static void send_head(remote_controller *remote,
                                                            const char *format, ...) {
    char head[MAX_HEAD];
    va_list arguments;
    va_start(arguments, format);
    const int size = vsnprintf(head, sizeof head, format, arguments);
    va_end(arguments);
    if (size < 0 || (size_t)size >= sizeof head) abort();
    send_all(remote, head, (size_t)size);
}

/* A text of that length; NULL for a negative one or if it doesn't come. */
static char *read_text(remote_controller *remote, long size) {
    if (size < 0) return NULL;
    char *text = tw_simulator_allocate((size_t)size + 1);
    if (fread(text, 1, (size_t)size, remote->from) == (size_t)size) return text;
    remote->base.failure = ENDED;
    free(text);
    return NULL;
}

/* Method names outlive their effect. */
static const char *method_named(const char *name) {
    static const char *const names[] = {"GET", "POST", "PUT", "DELETE"};
    for (size_t i = 0; i < sizeof names / sizeof *names; i++)
        if (!strcmp(name, names[i])) return names[i];
    return NULL;
}

static void read_effect(remote_controller *remote, tw_simulator_reader reader) {
    tw_effect *effect = tw_simulator_allocate(sizeof *effect);
    char method[TW_SIMULATOR_NAME];
    effect->kind = (int)tw_simulator_read_int(&reader);
    effect->id = tw_simulator_read_count(&reader);
    effect->status = (int)tw_simulator_read_int(&reader);
    effect->retry_after = tw_simulator_read_number(&reader);
    effect->to = (int)tw_simulator_read_int(&reader);
    effect->timeout_s = tw_simulator_read_number(&reader);
    tw_simulator_read_word(&reader, method, sizeof method);
    effect->method = method_named(method);
    const long address_size = tw_simulator_read_int(&reader),
               path_size = tw_simulator_read_int(&reader);
    const long body_size = tw_simulator_read_int(&reader);
    *remote->last = effect;
    remote->last = &effect->next;
    if (!tw_simulator_read_all(&reader)) {
        remote->base.failure = NOT_UNDERSTOOD;
        return;
    }
    char *address = read_text(remote, address_size);
    snprintf(effect->addr, sizeof effect->addr, "%s", address ? address : "");
    free(address);
    effect->path = read_text(remote, path_size);
    effect->body = read_text(remote, body_size);
}

/* Reads effects up to the end of the answer. */
static void read_answer(remote_controller *remote) {
    char head[MAX_HEAD];
    while (!remote->base.failure) {
        if (!fgets(head, sizeof head, remote->from)) {
            remote->base.failure = ENDED;
            return;
        }
        const tw_simulator_reader effect = tw_simulator_read_line(head, "effect");
        if (!effect.failed) {
            read_effect(remote, effect);
            continue;
        }
        tw_simulator_reader done = tw_simulator_read_line(head, "done");
        remote->steps = tw_simulator_read_count(&done);
        remote->tick_s = tw_simulator_read_number(&done);
        if (!tw_simulator_read_all(&done)) remote->base.failure = NOT_UNDERSTOOD;
        return;
    }
}

/* ---- inputs ---- */

static void request(tw_simulator_controller *controller, tw_simulator_clock clock, int port,
                    uint64_t connection, const char *method, const char *path, const char *body) {
    remote_controller *remote = (remote_controller *)controller;
    const size_t path_size = strlen(path), body_size = strlen(body);
    send_head(remote, "request %a %a %d %" PRIu64 " %s %zu %zu\n", clock.steady, clock.wall, port,
              connection, method, path_size, body_size);
    send_all(remote, path, path_size);
    send_all(remote, body, body_size);
    read_answer(remote);
}

static void response(tw_simulator_controller *controller, tw_simulator_clock clock, uint64_t call,
                     int status, const char *body) {
    remote_controller *remote = (remote_controller *)controller;
    const size_t size = strlen(body);
    send_head(remote, "response %a %a %" PRIu64 " %d %zu\n", clock.steady, clock.wall, call, status,
              size);
    send_all(remote, body, size);
    read_answer(remote);
}

static void tick(tw_simulator_controller *controller, tw_simulator_clock clock) {
    remote_controller *remote = (remote_controller *)controller;
    send_head(remote, "tick %a %a\n", clock.steady, clock.wall);
    read_answer(remote);
}

/* ---- what it says ---- */

static tw_effect *next(tw_simulator_controller *controller) {
    remote_controller *remote = (remote_controller *)controller;
    tw_effect *effect = remote->first;
    if (!effect) return NULL;
    remote->first = effect->next;
    if (!remote->first) remote->last = &remote->first;
    effect->next = NULL;
    return effect;
}

static uint64_t steps(const tw_simulator_controller *controller) {
    return ((const remote_controller *)controller)->steps;
}

static double tick_s(const tw_simulator_controller *controller) {
    return ((const remote_controller *)controller)->tick_s;
}

static const tw_simulator_controller_methods remote_methods = {.request = request,
                                                               .response = response,
                                                               .tick = tick,
                                                               .next = next,
                                                               .steps = steps,
                                                               .tick_s = tick_s,
                                                               .free = end};

tw_simulator_controller *tw_simulator_controller_remote(const char *program,
                                                        const tw_simulator_controller_start *start,
                                                        char *error, size_t error_size) {
    remote_controller *remote = tw_simulator_allocate(sizeof *remote);
    remote->base.methods = &remote_methods;
    remote->last = &remote->first;
    const int result = spawn(remote, program);
    if (result) {
        snprintf(error, error_size, "%s: %s", program, strerror(result));
        free(remote);
        return NULL;
    }
    const size_t size = strlen(start->settings);
    send_head(remote, "new %a %a %" PRIu64 " %a %zu\n", start->clock.steady, start->clock.wall,
              start->seed, start->mem_mb, size);
    send_all(remote, start->settings, size);
    read_answer(remote);
    if (!remote->base.failure) return &remote->base;
    snprintf(error, error_size, "%s: %s", program, remote->base.failure);
    end(&remote->base);
    return NULL;
}
