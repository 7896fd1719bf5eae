/* Prints the outcomes of many similar inputs, those with the same outcome in a row as one. */
#ifndef TW_TEST_OUTCOME_H
#define TW_TEST_OUTCOME_H

/* Notes an input by its label and what came of it (taken, freed later). Where the outcome is new, a
 * line is begun with prefix and label. usual: the outcome that others are compared to. */
void tw_test_outcome_add(const char *prefix, const char *label, char *outcome,
                         const char *baseline);
/* Prints the outcome of the inputs noted last: what differs from the usual one. */
void tw_test_outcome_finish(const char *baseline);

#endif
