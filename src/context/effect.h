/* Effects: outputs of a state machine, which the program that runs it carries out. */
#ifndef TW_CONTEXT_EFFECT_H
#define TW_CONTEXT_EFFECT_H
#include "config/config.h"
#include <stdint.h>

typedef enum { TW_EFFECT_REPLY, TW_EFFECT_CALL } tw_effect_kind;

/* Receiver of a call. */
typedef enum { TW_TO_STATE, TW_TO_CLOUD, TW_TO_PEER, TW_TO_WORKER } tw_call_target;

/* A reply to a request, or a call to make. It owns its path and body. */
typedef struct tw_effect {
    tw_effect_kind kind;
    uint64_t id;        /* REPLY: connection of the request; CALL: id to pass with the response */
    int status;         /* REPLY: HTTP status */
    double retry_after; /* REPLY: Retry-After header in seconds; 0: no such header */
    tw_call_target to;  /* CALL */
    char addr[TW_NAME_SIZE];
    const char *method;
    char *path, *body;
    double timeout_s; /* CALL: time after which the call counts as unanswered */
    struct tw_effect *next;
} tw_effect;

#endif
