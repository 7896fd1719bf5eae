/* The lines of a day that are about its gangs. No gang is submitted while nodes of the earlier
 * version may serve (docs/operations.md, "Upgrading"). */
#ifndef TW_FUZZ_GANG_LINES_H
#define TW_FUZZ_GANG_LINES_H
#include "upgrade.h"

/* Takes all gangs out, and what users do with them. */
void tw_fuzz_drop_gangs(tw_fuzz_day *day);
/* Moves each gang that is submitted before that moment to shortly after it, with all that users do
 * with it. */
void tw_fuzz_draw_gangs_after(tw_fuzz_upgrade *upgrade, int moment);

#endif
