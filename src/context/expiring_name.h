/* Sets of names, each with the time at which it was added: a member expires after a delay that the
 * set's owner chooses. The hash table is the set itself; NULL is the empty one. */
#ifndef TW_CONTEXT_EXPIRING_NAME_H
#define TW_CONTEXT_EXPIRING_NAME_H
#include "config/config.h"
#include <uthash.h>

typedef struct tw_expiring_name {
    char name[TW_NAME_SIZE];
    double at;
    UT_hash_handle hh;
} tw_expiring_name;

/* The member of that name; NULL: none. */
tw_expiring_name *tw_expiring_names_find(tw_expiring_name *set, const char *name);
/* Adds the name, unless it is a member, and sets its time. Returns the member. */
tw_expiring_name *tw_expiring_names_add(tw_expiring_name **set, const char *name, double at);
/* Removes a member and frees it. */
void tw_expiring_names_remove(tw_expiring_name **set, tw_expiring_name *member);
/* Removes the members that were added at least so many seconds ago. */
void tw_expiring_names_sweep(tw_expiring_name **set, double now, double age_s);
void tw_expiring_names_clear(tw_expiring_name **set);

#endif
