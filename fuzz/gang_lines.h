/* Removes or delays the gangs of a day. No gang may be submitted while nodes of the earlier version
 * may serve (docs/operations.md, "Upgrading"). */
#ifndef TW_FUZZ_GANG_LINES_H
#define TW_FUZZ_GANG_LINES_H
#include "upgrade.h"

/* Removes all lines that submit, cancel or poll a gang. */
void tw_fuzz_drop_gangs(tw_fuzz_day *day);
/* Delays each gang that is submitted before `moment` (hundredths of a second) until shortly after
 * it, together with all lines that cancel or poll the gang. */
void tw_fuzz_draw_gangs_after(tw_fuzz_upgrade *upgrade, int moment);

#endif
