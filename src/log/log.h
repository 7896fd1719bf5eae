/* Levelled log lines, key=value, on standard error. */
#ifndef TW_LOG_H
#define TW_LOG_H
#include <stdbool.h>

enum { TW_LOG_ERROR = 0, TW_LOG_INFO = 1, TW_LOG_DEBUG = 2 };

/* Level by name (error, info, debug); unknown names mean info. */
void tw_log_init(const char *level, const char *node);
bool tw_log_on(int level);
void tw_log_write(int level, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

#define tw_log_error(...) tw_log_write(TW_LOG_ERROR, __VA_ARGS__)
#define tw_log_info(...)                                                                           \
    do {                                                                                           \
        if (tw_log_on(TW_LOG_INFO)) tw_log_write(TW_LOG_INFO, __VA_ARGS__);                        \
    } while (0)
#define tw_log_debug(...)                                                                          \
    do {                                                                                           \
        if (tw_log_on(TW_LOG_DEBUG)) tw_log_write(TW_LOG_DEBUG, __VA_ARGS__);                      \
    } while (0)

#endif
