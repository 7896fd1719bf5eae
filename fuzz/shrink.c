/* Shrinks a day that breaks a rule to a smaller one that breaks the same rule. Lines are removed in
 * blocks of half the day, then of a quarter, down to single lines. In the remaining lines options
 * are removed, numbers and durations reduced, and events moved to earlier times. */
#include "line.h"
#include "fuzz.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ROUNDS_MAX = 6, LINE_SIZE = 1024, WORD_SIZE = 32 };
enum {
    STARTUP_S = 2
}; /* the first leader is elected in this time, so events are not moved into it */

typedef struct {
    tw_fuzz_day *day; /* breaks the rule; is replaced by each accepted candidate */
    const char *rule;
    bool by_this_version; /* the violation must be that of tw_fuzz_this_version_violation */
    unsigned runs, runs_max;
    tw_simulator_verdict verdict;
} shrink_state;

static bool breaks_rule(shrink_state *state, const tw_fuzz_day *day) {
    tw_simulator_verdict verdict;
    if (state->runs >= state->runs_max) return false;
    state->runs++;
    tw_fuzz_run_day_in_child(day, &verdict); /* a reduced day may crash the process */
    if (!verdict.failed) return false;
    const char *rule =
        state->by_this_version ? tw_fuzz_this_version_violation(&verdict).rule : verdict.rule;
    if (strcmp(rule, state->rule) != 0) return false;
    state->verdict = verdict;
    return true;
}

/* Replaces the day by the candidate if that still breaks the rule, and frees the rejected one. */
static bool accept_if_still_broken(shrink_state *state, tw_fuzz_day *candidate) {
    tw_fuzz_day *rejected = candidate;
    const bool kept = breaks_rule(state, candidate);
    if (kept) {
        const tw_fuzz_day smaller = *candidate;
        *candidate = *state->day;
        *state->day = smaller;
    }
    tw_fuzz_day_free(rejected);
    return kept;
}

static int try_without_lines(shrink_state *state, size_t from, size_t count) {
    tw_fuzz_day candidate = {0};
    for (size_t i = 0; i < state->day->count; i++)
        if (i < from || i >= from + count) tw_fuzz_day_add(&candidate, "%s", state->day->lines[i]);
    return accept_if_still_broken(state, &candidate);
}

/* Tries to remove blocks of lines, of half the day, a quarter and so on. Starts from the end of the
 * day, because fewer lines depend on those there. Returns the number of removed blocks. */
static int drop_lines(shrink_state *state) {
    int dropped = 0;
    for (size_t block = (state->day->count + 1) / 2; block; block /= 2) {
        size_t end = state->day->count;
        while (end) {
            const size_t from = end > block ? end - block : 0;
            dropped += try_without_lines(state, from, end - from);
            end = from;
        }
    }
    return dropped;
}

static bool try_line(shrink_state *state, size_t index, const char *line) {
    tw_fuzz_day candidate = {0};
    if (!strcmp(line, state->day->lines[index])) return false;
    for (size_t i = 0; i < state->day->count; i++)
        tw_fuzz_day_add(&candidate, "%s", i == index ? line : state->day->lines[i]);
    tw_fuzz_day_sort(&candidate);
    return accept_if_still_broken(state, &candidate);
}

/* Tries to move the end of the day to the second after the violation. */
static bool end_early(shrink_state *state) {
    char line[64];
    const size_t last = state->day->count - 1;
    if (!tw_fuzz_line_starts_with(state->day->lines[last], "end ")) return false;
    const tw_simulator_violation violation = tw_fuzz_violation_to_shrink(&state->verdict);
    const int end_s = (int)violation.at + 1;
    if (violation.at <= 0 || 100L * end_s >= tw_fuzz_parse_hundredths(state->day->lines[last] + 4))
        return false;
    snprintf(line, sizeof line, "end %d", end_s);
    return try_line(state, last, line);
}

static bool has_digits_only(const char *word, size_t length) {
    return length && strspn(word, "0123456789.") >= length;
}

/* Tries a line with `length` characters from `at` on replaced. */
static bool try_replacement(shrink_state *state, size_t index, size_t at, size_t length,
                            const char *replacement) {
    char line[LINE_SIZE];
    const char *old = state->day->lines[index];
    snprintf(line, sizeof line, "%.*s%s%s", (int)at, old, replacement, old + at + length);
    return try_line(state, index, line);
}

/* Tries to replace a number by smaller ones, the smallest first. */
static bool shrink_number(shrink_state *state, size_t index, size_t at, size_t length) {
    char replacement[WORD_SIZE];
    const char *word = state->day->lines[index] + at;
    const bool is_whole = !memchr(word, '.', length);
    const long value = tw_fuzz_parse_hundredths(word);
    const long min = is_whole ? 100 : 1;
    const long candidates[] = {min, value / 4, value / 2, value * 3 / 4, value - 100};
    for (size_t i = 0; i < sizeof candidates / sizeof *candidates; i++) {
        const long shorter = is_whole ? candidates[i] / 100 * 100 : candidates[i];
        if (shorter < min || shorter >= value) continue;
        if (is_whole)
            snprintf(replacement, sizeof replacement, "%ld", shorter / 100);
        else
            snprintf(replacement, sizeof replacement, "%ld.%02ld", shorter / 100, shorter % 100);
        if (try_replacement(state, index, at, length, replacement)) return true;
    }
    return false;
}

/* Tries to round a duration down to whole seconds, then to tenths. */
static bool round_number(shrink_state *state, size_t index, size_t at, size_t length) {
    char replacement[WORD_SIZE];
    const char *word = state->day->lines[index] + at;
    if (!memchr(word, '.', length)) return false;
    const long value = tw_fuzz_parse_hundredths(word);
    if (value % 100 == 0) return false;
    snprintf(replacement, sizeof replacement, "%ld.00", value / 100);
    if (value >= 100 && try_replacement(state, index, at, length, replacement)) return true;
    snprintf(replacement, sizeof replacement, "%ld.%ld0", value / 100, value % 100 / 10);
    return value >= 10 && try_replacement(state, index, at, length, replacement);
}

/* Tries to drop `key=value` from a line, or to make its number smaller. */
static bool shrink_option(shrink_state *state, size_t index, size_t at, size_t length) {
    const char *word = state->day->lines[index] + at;
    const char *equals = memchr(word, '=', length);
    const size_t key = (size_t)(equals - word) + 1;
    if (try_replacement(state, index, at - 1, length + 1, "")) return true;
    if (!has_digits_only(word + key, length - key)) return false;
    return shrink_number(state, index, at + key, length - key);
}

static bool shrink_word(shrink_state *state, size_t index, size_t at, size_t length) {
    const char *word = state->day->lines[index] + at;
    if (memchr(word, '=', length)) return shrink_option(state, index, at, length);
    if (!has_digits_only(word, length)) return false;
    const bool changed = shrink_number(state, index, at, length);
    if (changed) return true;
    return round_number(state, index, at, length);
}

/* Tries to shrink each word of a line after the first one; in `at` lines, each after the time. */
static int shrink_line(shrink_state *state, size_t index) {
    int changed = 0;
    size_t at = tw_fuzz_line_starts_with(state->day->lines[index], "at ") ? 3 : 0, word = 0;
    if (tw_fuzz_line_starts_with(state->day->lines[index], "end ")) return 0;
    while (state->day->lines[index][at]) {
        const size_t length = strcspn(state->day->lines[index] + at, " ");
        if (word++ && shrink_word(state, index, at, length)) {
            /* Retries the same position, which now holds another word or a smaller number. */
            changed++;
            if (at >= strlen(state->day->lines[index])) break;
            continue;
        }
        at += length + strspn(state->day->lines[index] + at + length, " ");
    }
    return changed;
}

static int shrink_lines(shrink_state *state) {
    int changed = 0;
    for (size_t i = state->day->count; i-- > 0;) changed += shrink_line(state, i);
    return changed;
}

/* Tries the day with all events from `moment` on moved to an earlier time by `advance`. */
static bool try_earlier(shrink_state *state, long moment, long advance) {
    tw_fuzz_day candidate = {0};
    for (size_t i = 0; i < state->day->count; i++) {
        const char *line = state->day->lines[i], *rest = line + 3;
        const long when = tw_fuzz_parse_hundredths(rest);
        if (!tw_fuzz_line_starts_with(line, "at ") || when < moment) {
            tw_fuzz_day_add(&candidate, "%s", line);
            continue;
        }
        rest += strcspn(rest, " ");
        tw_fuzz_day_add(&candidate, "at %ld.%02ld%s", (when - advance) / 100,
                        (when - advance) % 100, rest);
    }
    tw_fuzz_day_sort(&candidate);
    return accept_if_still_broken(state, &candidate);
}

/* Tries to shorten the gaps between events: by the whole gap, a half, a quarter, or a second. */
static int close_gaps(shrink_state *state) {
    int changed = 0;
    long previous = 100L * STARTUP_S;
    for (size_t i = 0; i < state->day->count; i++) {
        const char *line = state->day->lines[i];
        if (!tw_fuzz_line_starts_with(line, "at ")) continue;
        const long when = tw_fuzz_parse_hundredths(line + 3), gap = when - previous;
        const long candidates[] = {gap, gap / 2, gap / 4, 100};
        for (size_t k = 0; gap > 100 && k < sizeof candidates / sizeof *candidates; k++) {
            if (!try_earlier(state, when, candidates[k])) continue;
            changed++;
            break;
        }
        previous = tw_fuzz_parse_hundredths(state->day->lines[i] + 3);
    }
    return changed;
}

unsigned tw_fuzz_shrink(tw_fuzz_day *day, const char *rule, bool by_this_version, unsigned runs_max,
                        tw_simulator_verdict *verdict) {
    shrink_state state = {
        .day = day, .rule = rule, .by_this_version = by_this_version, .runs_max = runs_max};
    if (breaks_rule(&state, day)) {
        /* A reduced day may fail an `expect` line although the scheduler works correctly. */
        int changed = strcmp(rule, TW_FUZZ_EXPECTATION_FAILED) != 0;
        for (int round = 0; changed && round < ROUNDS_MAX; round++) {
            changed = end_early(&state);
            changed += drop_lines(&state);
            changed += shrink_lines(&state);
            changed += close_gaps(&state);
            changed += end_early(&state);
        }
    }
    *verdict = state.verdict;
    return state.runs;
}
