/* Expiring sets: names with the time they were added, which is when each is let go after its
 * owner's own delay. The hash table is the set itself; NULL is the empty one. Not for other
 * packages. */
#ifndef TW_CORE_EXPIRING_H
#define TW_CORE_EXPIRING_H
#include "config/config.h"
#include <uthash.h>

/* A member of an expiring set. */
typedef struct tw_expiring_name {
    char name[TW_NAME_SIZE];
    double at;
    UT_hash_handle hh;
} tw_expiring_name;

#endif
