/* Counters of decisions and of broken invariants, and their log lines. See counters.h. */
#include "core/core_int.h"
#include <stdarg.h>

/* Maximum size in bytes of the details of a log line and of the line with all counters. Longer
 * text is truncated. */
#define MAX_DETAIL 400
#define MAX_LINE 700

static const char *const invariant_names[TW_INVARIANTS] = {
    [TW_INVARIANT_PLACED_TWICE] = "placed_twice",
    [TW_INVARIANT_LAUNCH] = "launch",
    [TW_INVARIANT_PERMISSION] = "permission",
    [TW_INVARIANT_TERMINATION] = "termination",
};

static const char *const rejection_names[TW_REJECTIONS] = {
    [TW_REJECTED_OLDER_HEARTBEAT] = "older_heartbeat",
    [TW_REJECTED_EXPIRED_HEARTBEAT] = "expired_heartbeat",
    [TW_REJECTED_RETURNED_MACHINE] = "returned_machine",
    [TW_REJECTED_NO_PERMISSION] = "no_permission",
    [TW_REJECTED_COMMANDS] = "commands",
};

void tw_invariant_broken(tw_core *core, tw_invariant which, const char *format, ...) {
    char detail[MAX_DETAIL];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(detail, sizeof detail, format, arguments);
    va_end(arguments);
    core->counters.broken[which]++;
    tw_log_error("event=invariant_broken name=%s token=%llu %s", invariant_names[which],
                 (unsigned long long)tw_cluster_token(core->cluster), detail);
}

uint64_t tw_core_broken_invariants(const tw_core *core) {
    uint64_t all = 0;
    for (int i = 0; i < TW_INVARIANTS; i++) all += core->counters.broken[i];
    return all;
}

/* Appends ` PREFIX_NAME=COUNT` to the line for each counter that is not 0. */
static void append_counters(char *line, const char *prefix, const char *const *names,
                            const uint64_t *counts, int count) {
    for (int i = 0; i < count; i++) {
        const size_t length = strlen(line);
        if (!counts[i]) continue;
        snprintf(line + length, MAX_LINE - length, " %s_%s=%llu", prefix, names[i],
                 (unsigned long long)counts[i]);
    }
}

void tw_core_log_counters(const tw_core *core) {
    char line[MAX_LINE] = "";
    const char *evidence_names[TW_EVIDENCE_KINDS];
    for (int i = 0; i < TW_EVIDENCE_KINDS; i++)
        evidence_names[i] = tw_termination_evidence_name((tw_termination_evidence)i);
    append_counters(line, "terminated", evidence_names, core->counters.terminated,
                    TW_EVIDENCE_KINDS);
    append_counters(line, "kept", evidence_names, core->counters.kept, TW_EVIDENCE_KINDS);
    append_counters(line, "rejected", rejection_names, core->counters.rejected, TW_REJECTIONS);
    append_counters(line, "broken", invariant_names, core->counters.broken, TW_INVARIANTS);
    tw_log_debug("event=counters_logged%s", line);
}
