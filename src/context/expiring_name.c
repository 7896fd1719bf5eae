/* Sets of names with the times at which they were added. */
#include "context/expiring_name.h"
#include "context/memory.h"
#include <stdio.h>
#include <stdlib.h>

tw_expiring_name *tw_expiring_names_find(tw_expiring_name *set, const char *name) {
    tw_expiring_name *member;
    HASH_FIND_STR(set, name, member);
    return member;
}

tw_expiring_name *tw_expiring_names_add(tw_expiring_name **set, const char *name, double at) {
    tw_expiring_name *member = tw_expiring_names_find(*set, name);
    if (!member) {
        member = tw_alloc(sizeof *member);
        snprintf(member->name, sizeof member->name, "%s", name);
        HASH_ADD_STR(*set, name, member);
    }
    member->at = at;
    return member;
}

void tw_expiring_names_remove(tw_expiring_name **set, tw_expiring_name *member) {
    HASH_DEL(*set, member);
    free(member);
}

void tw_expiring_names_sweep(tw_expiring_name **set, double now, double age_s) {
    tw_expiring_name *member, *next;
    HASH_ITER(hh, *set, member, next) {
        if (now >= member->at + age_s) tw_expiring_names_remove(set, member);
    }
}

void tw_expiring_names_clear(tw_expiring_name **set) {
    tw_expiring_name *member, *next;
    HASH_ITER(hh, *set, member, next) { tw_expiring_names_remove(set, member); }
}
