/* Sets of names that record when each name was added, so that the owner of a set can remove names
 * of a certain age. A set is the head of a uthash table; NULL is the empty set. */
#ifndef TW_CONTEXT_EXPIRING_NAME_H
#define TW_CONTEXT_EXPIRING_NAME_H
#include "config/config.h"
#include <uthash.h>

typedef struct tw_expiring_name {
    char name[TW_NAME_SIZE];
    double at; /* when the name was last added */
    UT_hash_handle hh;
} tw_expiring_name;

/* Returns the member with this name; NULL if there is none. */
tw_expiring_name *tw_expiring_names_find(tw_expiring_name *set, const char *name);
/* Adds the name unless it is a member already, and sets the member's time. Returns the member. */
tw_expiring_name *tw_expiring_names_add(tw_expiring_name **set, const char *name, double at);
/* Removes and frees a member. */
void tw_expiring_names_remove(tw_expiring_name **set, tw_expiring_name *member);
/* Removes the members that were added age_s or more seconds before now. */
void tw_expiring_names_sweep(tw_expiring_name **set, double now, double age_s);
void tw_expiring_names_clear(tw_expiring_name **set);

#endif
