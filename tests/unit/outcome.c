#include "outcome.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *last_outcome;

/* Prints the words of line that are left without its common prefix and suffix with baseline. */
static void print_difference(const char *baseline, const char *line) {
    size_t usual_length = strlen(baseline);
    size_t length = strlen(line);
    size_t begin = 0;
    size_t end = 0;
    while (begin < length && baseline[begin] == line[begin]) begin++;
    while (end < length - begin && end < usual_length - begin &&
           baseline[usual_length - 1 - end] == line[length - 1 - end])
        end++;
    while (begin > 0 && line[begin - 1] != ' ') begin--;
    while (end > 0 && line[length - end] != ' ') end--;
    printf("%.*s\n", (int)(length - begin - end), line + begin);
}

static void print_last(const char *baseline) {
    printf("\n    ");
    if (strcmp(baseline, last_outcome) != 0)
        print_difference(baseline, last_outcome);
    else
        printf("as usual\n");
    free(last_outcome);
    last_outcome = NULL;
}

void tw_test_outcome_add(const char *prefix, const char *label, char *outcome,
                         const char *baseline) {
    if (last_outcome && !strcmp(last_outcome, outcome)) {
        printf(" %s", label);
        free(outcome);
        return;
    }
    if (last_outcome) print_last(baseline);
    printf("%s%s", prefix, label);
    last_outcome = outcome;
}

void tw_test_outcome_finish(const char *baseline) { print_last(baseline); }
