/* Prints the outcomes of many similar inputs. Successive inputs with the same outcome share a line.
 */
#ifndef TW_TEST_OUTCOME_H
#define TW_TEST_OUTCOME_H

/* Adds an input, given by its label, with its outcome. Takes ownership of outcome. If the outcome
 * differs from the previous one, prints the previous outcome and starts a line with prefix and
 * label. Outcomes are printed as the difference from baseline. */
void tw_test_outcome_add(const char *prefix, const char *label, char *outcome,
                         const char *baseline);
/* Prints the outcome of the inputs added last, as its difference from baseline. */
void tw_test_outcome_finish(const char *baseline);

#endif
