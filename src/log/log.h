/* Log lines of key=value pairs on standard error, with a level. The level and the node's name are
 * the only global state of the program; tw_log_init sets them once, before anything else logs.
 * Until then only errors are logged. */
#ifndef TW_LOG_H
#define TW_LOG_H
#include <stdbool.h>

/* Levels; each includes those before it. */
typedef enum { TW_LOG_ERROR, TW_LOG_INFO, TW_LOG_DEBUG } tw_log_level;

/* level: name of the highest level that is logged (error, info, debug); NULL or any other name:
 * info. node: name in each line; NULL: "-". */
void tw_log_init(const char *level, const char *node);
/* Whether lines of the level are logged. */
bool tw_log_is_enabled(tw_log_level level);
/* Writes a line if its level is logged. A line that is too long is cut. */
void tw_log_write(tw_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* What stands in the arguments of the last two is evaluated only if the line is logged. */
#define tw_log_error(...) tw_log_write(TW_LOG_ERROR, __VA_ARGS__)
#define tw_log_info(...)                                                                           \
    do {                                                                                           \
        if (tw_log_is_enabled(TW_LOG_INFO)) tw_log_write(TW_LOG_INFO, __VA_ARGS__);                \
    } while (0)
#define tw_log_debug(...)                                                                          \
    do {                                                                                           \
        if (tw_log_is_enabled(TW_LOG_DEBUG)) tw_log_write(TW_LOG_DEBUG, __VA_ARGS__);              \
    } while (0)

#endif
