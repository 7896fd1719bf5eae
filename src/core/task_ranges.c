/* Sets of a job's tasks as text for the job's record, such as "0-5,7": ranges in ascending order,
 * separated by commas. */
#include "core/core_int.h"

/* Initial capacity of a text, and maximum length of one range in it. */
#define FIRST_CAPACITY 64
#define MAX_RANGE_LENGTH 32
#define DECIMAL 10

char *tw_task_ranges_text(const uint8_t *states, int count, tw_assignment wanted) {
    size_t capacity = FIRST_CAPACITY;
    size_t length = 0;
    char *text = tw_alloc(capacity);
    /* Most tasks of a large job have another assignment; memchr skips them quickly. */
    const uint8_t *at = count ? memchr(states, wanted, (size_t)count) : NULL;
    while (at) {
        const int first = (int)(at - states);
        int last = first;
        while (last + 1 < count && states[last + 1] == (uint8_t)wanted) last++;
        if (capacity - length < MAX_RANGE_LENGTH) {
            capacity *= 2;
            char *grown = realloc(text, capacity);
            if (!grown) abort();
            text = grown;
        }
        const char *comma = length ? "," : "";
        if (last > first)
            length +=
                (size_t)snprintf(text + length, capacity - length, "%s%d-%d", comma, first, last);
        else
            length += (size_t)snprintf(text + length, capacity - length, "%s%d", comma, first);
        at = last + 1 < count ? memchr(at + (last + 1 - first), wanted, (size_t)(count - last - 1))
                              : NULL;
    }
    return text;
}

int tw_task_ranges_apply(uint8_t *states, int count, const char *text, tw_assignment assignment) {
    int changed = 0;
    while (*text) {
        char *end;
        long first = strtol(text, &end, DECIMAL);
        long last = first;
        if (end == text) break;
        if (*end == '-') last = strtol(end + 1, &end, DECIMAL);
        for (long i = first; i <= last && i < count; i++) {
            if (i < 0 || states[i] == (uint8_t)assignment) continue;
            states[i] = (uint8_t)assignment;
            changed++;
        }
        if (*end != ',') break;
        text = end + 1;
    }
    return changed;
}
