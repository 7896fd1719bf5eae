/* Logging: writes lines of key=value pairs with a level to standard error. The highest logged level
 * and the node's name are the only global state of the program; tw_log_init sets them once, before
 * anything else logs. Before that call only errors are logged. */
#ifndef TW_LOG_H
#define TW_LOG_H
#include <stdbool.h>

/* Log levels; each level includes the levels before it. */
typedef enum { TW_LOG_ERROR, TW_LOG_INFO, TW_LOG_DEBUG } tw_log_level;

/* Initializes the package. level: name of the highest level that is logged (error, info, debug);
 * NULL or any other name: info. node: node name in each line; NULL: "-". */
void tw_log_init(const char *level, const char *node);
/* Returns whether lines of the level are logged. */
bool tw_log_is_enabled(tw_log_level level);
/* Writes a line if its level is logged. A line that is too long is truncated. */
void tw_log_write(tw_log_level level, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Each macro writes a line of the level in its name. tw_log_info and tw_log_debug evaluate their
 * arguments only if the line is logged. */
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
