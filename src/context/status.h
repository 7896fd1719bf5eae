/* HTTP statuses of the protocol, in replies that the core sends and responses that it receives. */
#ifndef TW_CONTEXT_STATUS_H
#define TW_CONTEXT_STATUS_H

enum {
    TW_HTTP_NO_RESPONSE = 0, /* no response arrived: the call may or may not have been executed */
    TW_HTTP_OK = 200,
    TW_HTTP_CREATED = 201,
    TW_HTTP_BAD_REQUEST = 400,
    TW_HTTP_NOT_FOUND = 404,
    TW_HTTP_METHOD_NOT_ALLOWED = 405,
    TW_HTTP_CONFLICT = 409,
    TW_HTTP_GONE = 410,
    TW_HTTP_MISDIRECTED = 421, /* the worker should send its heartbeats to another node */
    TW_HTTP_IMPOSSIBLE = 422,  /* the job can never run */
    TW_HTTP_TOO_MANY = 429,
    TW_HTTP_UNAVAILABLE = 503
};

#endif
