/* Finds the lines of a day that submit, cancel or poll a gang, and removes or delays them. */
#include "gang_lines.h"
#include "line.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    GANG_DELAY_MAX = 3 * TW_FUZZ_SECOND
}; /* maximum time from the last step to the submission of a gang */
enum { ID_SIZE = 32 };

/* Returns whether the line is the first submission of a gang, and stores the job id. */
static bool read_gang(const char *line, char id[ID_SIZE]) {
    return strstr(line, " shape=gang") && sscanf(line, "at %*s submit %31s", id) == 1;
}

/* Returns whether the line is a user request for the job. */
static bool is_user_request_for(const char *line, const char *id) {
    char command[ID_SIZE], job[ID_SIZE];
    return sscanf(line, "at %*s %31s %31s", command, job) == 2 && !strcmp(job, id) &&
           (!strcmp(command, "submit") || !strcmp(command, "cancel") || !strcmp(command, "poll"));
}

static void drop_user_requests_for(tw_fuzz_day *day, const char *id) {
    size_t kept = 0;
    for (size_t i = 0; i < day->count; i++) {
        if (is_user_request_for(day->lines[i], id))
            free(day->lines[i]);
        else
            day->lines[kept++] = day->lines[i];
    }
    day->count = kept;
}

void tw_fuzz_drop_gangs(tw_fuzz_day *day) {
    char id[ID_SIZE];
    size_t i = 0;
    while (i < day->count) {
        if (!read_gang(day->lines[i], id)) {
            i++;
            continue;
        }
        drop_user_requests_for(day, id);
        i = 0; /* lines before this one may have been removed, too */
    }
}

void tw_fuzz_draw_gangs_after(tw_fuzz_upgrade *upgrade, int moment) {
    tw_fuzz_day *day = upgrade->plan.day;
    char id[ID_SIZE];
    for (size_t i = 0; i < day->count; i++) {
        if (!read_gang(day->lines[i], id)) continue;
        const int submitted = tw_fuzz_line_moment(day->lines[i]);
        if (submitted >= moment) continue;
        const int delay =
            moment - submitted + tw_fuzz_rng_range(&upgrade->plan.rng, 0, GANG_DELAY_MAX);
        for (size_t k = 0; k < day->count; k++)
            if (is_user_request_for(day->lines[k], id)) tw_fuzz_line_delay(&day->lines[k], delay);
    }
}
