/* Functions shared by the processes that run days. */
#ifndef TW_FUZZ_RUN_H
#define TW_FUZZ_RUN_H
#include "fuzz.h"

/* Limits the processor time of this process from now on. SIGVTALRM terminates the process when it
 * exceeds the limit. */
void tw_fuzz_limit_cpu_time(void);
/* Stores the verdict on a day whose process ended with this wait status before it sent a verdict.
 */
void tw_fuzz_set_exit_verdict(int status, tw_simulator_verdict *verdict);

#endif
