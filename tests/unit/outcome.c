#include "outcome.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *last;

/* Prints the words of line that stand between what it has in common with usual on both sides. */
static void print_difference(const char *usual, const char *line) {
    size_t usual_length = strlen(usual);
    size_t length = strlen(line);
    size_t begin = 0;
    size_t end = 0;
    while (begin < length && usual[begin] == line[begin]) begin++;
    while (end < length - begin && end < usual_length - begin &&
           usual[usual_length - 1 - end] == line[length - 1 - end])
        end++;
    while (begin > 0 && line[begin - 1] != ' ') begin--;
    while (end > 0 && line[length - end] != ' ') end--;
    printf("%.*s\n", (int)(length - begin - end), line + begin);
}

static void print_last(const char *usual) {
    printf("\n    ");
    if (strcmp(usual, last) != 0)
        print_difference(usual, last);
    else
        printf("as usual\n");
    free(last);
    last = NULL;
}

void tw_test_outcome_show(const char *prefix, const char *label, char *outcome, const char *usual) {
    if (last && !strcmp(last, outcome)) {
        printf(" %s", label);
        free(outcome);
        return;
    }
    if (last) print_last(usual);
    printf("%s%s", prefix, label);
    last = outcome;
}

void tw_test_outcome_end(const char *usual) { print_last(usual); }
