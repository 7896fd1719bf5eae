/* Each log line is written with a single call of write, so that lines of several processes are not
 * interleaved. */
#include "log/log.h"
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MAX_LINE_BYTES 1024
#define MAX_NODE_NAME 64

static tw_log_level max_level = TW_LOG_ERROR;
static char node_name[MAX_NODE_NAME] = "-";

void tw_log_init(const char *level, const char *node) {
    max_level = TW_LOG_INFO;
    if (level && !strcmp(level, "error")) max_level = TW_LOG_ERROR;
    if (level && !strcmp(level, "debug")) max_level = TW_LOG_DEBUG;
    if (node) snprintf(node_name, sizeof node_name, "%s", node);
}

bool tw_log_is_enabled(tw_log_level level) { return level <= max_level; }

void tw_log_write(tw_log_level level, const char *format, ...) {
    static const char *const names[] = {"error", "info", "debug"};
    char line[MAX_LINE_BYTES];
    if (level > max_level) return;
    const int prefix = snprintf(line, sizeof line, "level=%s node=%s ", names[level], node_name);
    va_list arguments;
    va_start(arguments, format);
    const int text = vsnprintf(line + prefix, sizeof line - (size_t)prefix - 1, format, arguments);
    va_end(arguments);
    if (text < 0) return;
    size_t length = (size_t)prefix + (size_t)text;
    if (length > sizeof line - 2) length = sizeof line - 2; /* truncated line */
    line[length++] = '\n';
    /* A failure to write the log must not stop the service. */
    if (write(STDERR_FILENO, line, length) < 0) return;
}
