/* Effects: what a state machine gives out, to be carried out by the program that drives it. */
#ifndef TW_CONTEXT_EFFECT_H
#define TW_CONTEXT_EFFECT_H
#include "config/config.h"
#include <stdint.h>

typedef enum { TW_EFFECT_REPLY, TW_EFFECT_CALL } tw_effect_kind;

/* Whom a call goes to. */
typedef enum { TW_TO_STATE, TW_TO_CLOUD, TW_TO_PEER, TW_TO_WORKER } tw_call_target;

/* A reply to give, or a call to make. It owns its path and body. */
typedef struct tw_effect {
    tw_effect_kind kind;
    uint64_t id;        /* REPLY: the request's connection; CALL: given back with the response */
    int status;         /* REPLY: HTTP status */
    double retry_after; /* REPLY: seconds, 0: none */
    tw_call_target to;  /* CALL */
    char addr[TW_NAME_SIZE];
    const char *method;
    char *path, *body;
    double timeout_s; /* CALL: no response after that */
    struct tw_effect *next;
} tw_effect;

#endif
