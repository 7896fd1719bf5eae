/* Sets of a job's tasks as text, "0-5,7", for the job's record. */
#include "core/core_int.h"

/* First room for a text, and the longest text of one range. */
#define FIRST_ROOM 64
#define LONGEST_RANGE 32
#define DECIMAL 10

char *tw_task_ranges_text(const uint8_t *states, int count, int want) {
    size_t room = FIRST_ROOM;
    size_t length = 0;
    char *text = tw_alloc(room);
    /* Of a large job most tasks are in another state: memchr passes over them. */
    const uint8_t *at = count ? memchr(states, want, (size_t)count) : NULL;
    while (at) {
        const int first = (int)(at - states);
        int last = first;
        while (last + 1 < count && states[last + 1] == want) last++;
        if (room - length < LONGEST_RANGE) {
            room *= 2;
            char *more = realloc(text, room);
            if (!more) abort();
            text = more;
        }
        const char *comma = length ? "," : "";
        if (last > first)
            length += (size_t)snprintf(text + length, room - length, "%s%d-%d", comma, first, last);
        else
            length += (size_t)snprintf(text + length, room - length, "%s%d", comma, first);
        at = last + 1 < count ? memchr(at + (last + 1 - first), want, (size_t)(count - last - 1))
                              : NULL;
    }
    return text;
}

int tw_task_ranges_apply(uint8_t *states, int count, const char *text, int to) {
    int changed = 0;
    while (*text) {
        char *end;
        long first = strtol(text, &end, DECIMAL);
        long last = first;
        if (end == text) break;
        if (*end == '-') last = strtol(end + 1, &end, DECIMAL);
        for (long i = first; i <= last && i < count; i++) {
            if (i < 0 || states[i] == to) continue;
            states[i] = (uint8_t)to;
            changed++;
        }
        if (*end != ',') break;
        text = end + 1;
    }
    return changed;
}
