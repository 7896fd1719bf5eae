/* Counters of decisions and of broken invariants, as log lines. */
#include "core/core_int.h"
#include <stdarg.h>

#define LONGEST_DETAIL 400
#define LONGEST_LINE 700

static const char *const invariant_names[INVARIANTS] = {
    [INVARIANT_PLACED_TWICE] = "placed_twice",
    [INVARIANT_LAUNCH] = "launch",
    [INVARIANT_RIGHT] = "right",
    [INVARIANT_END] = "end",
};

static const char *const refusal_names[REFUSALS] = {
    [REFUSED_OLDER_REPORT] = "older_report", [REFUSED_LAPSED_REPORT] = "lapsed_report",
    [REFUSED_RETURNED] = "returned",         [REFUSED_NO_RIGHT] = "no_right",
    [REFUSED_COMMANDS] = "commands",
};

void tw_invariant_broken(tw_core *core, invariant which, const char *format, ...) {
    char detail[LONGEST_DETAIL];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(detail, sizeof detail, format, arguments);
    va_end(arguments);
    core->counters.broken[which]++;
    tw_log_error("event=invariant_broken name=%s token=%llu %s", invariant_names[which],
                 (unsigned long long)core->fencing_token, detail);
}

uint64_t tw_core_broken(const tw_core *core) {
    uint64_t all = 0;
    for (int i = 0; i < INVARIANTS; i++) all += core->counters.broken[i];
    return all;
}

/* Adds ` PREFIX_NAME=COUNT` to the line for each counter that isn't 0. */
static void add(char *line, const char *prefix, const char *const *names, const uint64_t *counts,
                int count) {
    for (int i = 0; i < count; i++) {
        const size_t length = strlen(line);
        if (!counts[i]) continue;
        snprintf(line + length, LONGEST_LINE - length, " %s_%s=%llu", prefix, names[i],
                 (unsigned long long)counts[i]);
    }
}

void tw_core_log_counters(const tw_core *core) {
    char line[LONGEST_LINE] = "";
    const char *grounds[END_GROUNDS];
    for (int i = 0; i < END_GROUNDS; i++) grounds[i] = tw_end_ground_name((end_ground)i);
    add(line, "ended", grounds, core->counters.terminated, END_GROUNDS);
    add(line, "kept", grounds, core->counters.kept, END_GROUNDS);
    add(line, "refused", refusal_names, core->counters.rejected, REFUSALS);
    add(line, "broken", invariant_names, core->counters.broken, INVARIANTS);
    tw_log_debug("event=counters%s", line);
}
