/* The feed: the active controller sends its records and numbered changes to the standbys. */
#include "standby/standby_int.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define SNAPSHOT_PART_BYTES ((size_t)256 << 10) /* size above which a part of a snapshot ends */
#define MAX_FOLLOWERS 64

void tw_standby_message_free(tw_standby_message *message) {
    tw_wire_entries_free(message->entries, message->count);
    message->entries = NULL;
    message->count = 0;
}

void tw_standby_advance(tw_standby_position *position, const tw_standby_message *message) {
    if (message->kind == TW_STANDBY_CHANGE) {
        position->number = message->number;
        position->term = message->term;
    }
    if (message->kind != TW_STANDBY_SNAPSHOT) return;
    if (!message->after[0]) position->snapshot_number = message->number;
    position->term = message->term;
    if (message->more && message->count) {
        strcpy(position->after, message->entries[message->count - 1].key);
        return;
    }
    position->after[0] = 0;
    position->number = position->snapshot_number;
}

/* ---- sending the feed, at the active controller ---- */

void tw_standby_update_follower(tw_standby *standby, double now, const char *name, uint64_t term,
                                uint64_t number) {
    tw_standby_follower *follower;
    tw_standby_update_authority(standby, now);
    if (!standby->leads) return;
    HASH_FIND_STR(standby->followers, name, follower);
    if (!follower) {
        if (HASH_COUNT(standby->followers) >= MAX_FOLLOWERS) return;
        follower = tw_standby_alloc(sizeof *follower);
        strncpy(follower->name, name, sizeof follower->name - 1);
        HASH_ADD_STR(standby->followers, name, follower);
    }
    follower->seen_at = now;
    follower->number = term == standby->view.term ? number : 0;
}

static void fill_snapshot(tw_standby *standby, tw_standby_message *message, const char *after) {
    size_t bytes = 0;
    int entry_count = 0;
    const tw_standby_record *from;
    message->kind = TW_STANDBY_SNAPSHOT;
    strcpy(message->after, after);
    tw_standby_view_sort(&standby->view);
    for (from = standby->view.records; from && strcmp(from->key, after) <= 0;) from = from->hh.next;
    const tw_standby_record *each = from;
    for (; each && bytes < SNAPSHOT_PART_BYTES; each = each->hh.next, entry_count++)
        bytes += strlen(each->data);
    message->more = each != NULL;
    message->entries = tw_standby_alloc(sizeof *message->entries * (size_t)entry_count);
    for (; from != each; from = from->hh.next) {
        tw_wire_entry entry = {.mod_revision = from->mod_revision, .value = from->data};
        strcpy(entry.key, from->key);
        tw_wire_entry *copy = tw_standby_copy_entries(&entry, 1);
        message->entries[message->count++] = *copy;
        free(copy);
    }
}

/* Returns the change after that number, or NULL if it has been removed from the log. */
static const tw_standby_change *change_after(const tw_standby *standby, uint64_t number) {
    const tw_standby_change *each;
    DL_FOREACH(standby->log.changes, each) {
        if (each->number == number + 1) return each;
    }
    return NULL;
}

static void fill_change(tw_standby_message *message, const tw_standby_change *sent) {
    message->kind = TW_STANDBY_CHANGE;
    message->number = sent->number;
    message->store_revision = sent->store_revision;
    message->digest = sent->digest;
    message->entries = tw_standby_copy_entries(sent->entries, sent->count);
    message->count = sent->count;
}

tw_standby_message tw_standby_build_message(tw_standby *standby, double now,
                                            const tw_standby_position *position) {
    tw_standby_update_authority(standby, now);
    const tw_standby_view *own = &standby->view;
    tw_standby_message message = {.kind = TW_STANDBY_DENIED, .term = standby->latest_term};
    strcpy(message.successor, standby->successor);
    if (!standby->leads) return message;
    message.kind = TW_STANDBY_HEARTBEAT;
    message.term = standby->lease.token;
    if (!own->loaded || own->term != standby->lease.token) return message;
    message.number = own->number;
    message.store_revision = own->store_revision;
    message.digest = own->digest;
    const bool in_snapshot = position->after[0] && position->term == own->term;
    const tw_standby_change *next = change_after(standby, position->number);
    if (in_snapshot)
        fill_snapshot(standby, &message, position->after);
    else if (position->term == own->term && position->number == own->number)
        message.kind = TW_STANDBY_HEARTBEAT;
    else if (position->term == own->term && next)
        fill_change(&message, next);
    else
        fill_snapshot(standby, &message, "");
    return message;
}

/* ---- receiving the feed, at a standby ---- */

/* Handles a message that does not continue from this node's position: counts a gap and resets the
 * position, so that the feed restarts with a snapshot. */
static int restart_from_snapshot(tw_standby *standby) {
    standby->gaps++;
    standby->position = (tw_standby_position){0};
    tw_standby_view_clear(&standby->staged);
    return 0;
}

static bool verify_digest(tw_standby *standby, const tw_standby_message *message) {
    if (standby->view.digest == message->digest) return true;
    tw_standby_log_event(standby, "event=digest_mismatched number=%lu",
                         (unsigned long)message->number);
    standby->view.loaded = false; /* a view that differs must not be used for decisions */
    return false;
}

static int apply_change(tw_standby *standby, const tw_standby_message *message) {
    tw_standby_view *own = &standby->view;
    const tw_standby_position *at = &standby->position;
    if (message->term == at->term && message->number <= at->number) return 1; /* duplicate */
    if (message->term != at->term || message->number != at->number + 1 || at->after[0])
        return restart_from_snapshot(standby);
    tw_standby_view_apply(own, message->entries, message->count);
    own->number = message->number;
    own->store_revision = message->store_revision;
    tw_standby_advance(&standby->position, message);
    return verify_digest(standby, message) ? 1 : restart_from_snapshot(standby);
}

static int apply_snapshot_part(tw_standby *standby, const tw_standby_message *message) {
    tw_standby_position *at = &standby->position;
    const bool begins = !message->after[0];
    if (!begins && (at->term != message->term || strcmp(at->after, message->after) != 0))
        return restart_from_snapshot(standby);
    if (begins) {
        tw_standby_view_clear(&standby->staged);
        standby->staged.store_revision = message->store_revision;
    }
    tw_standby_view_apply(&standby->staged, message->entries, message->count);
    tw_standby_advance(at, message);
    if (message->more) return 1;
    tw_standby_view_clear(&standby->view);
    standby->view = standby->staged;
    standby->view.loaded = true;
    standby->view.term = at->term;
    standby->view.number = at->number;
    standby->staged = (tw_standby_view){0};
    standby->snapshots++;
    return 1;
}

static int handle_heartbeat(tw_standby *standby, const tw_standby_message *message) {
    const tw_standby_position *at = &standby->position;
    if (!message->number || message->term != at->term || message->number != at->number) return 1;
    return verify_digest(standby, message) ? 1 : restart_from_snapshot(standby);
}

static void handle_denial(tw_standby *standby, const tw_standby_message *message) {
    if (message->term < standby->latest_term) return;
    strcpy(standby->successor, message->successor);
    standby->active_seen_at = standby->now - standby->settings.lease_s;
    if (!strcmp(standby->successor, standby->settings.name)) standby->lease.next_at = standby->now;
}

static void update_lag(tw_standby *standby) {
    const bool lags = standby->view.number != standby->active_number;
    if (!lags) standby->lag_since = 0;
    if (lags && !standby->lag_since) standby->lag_since = standby->now;
}

tw_standby_position tw_standby_position_of(const tw_standby *standby) { return standby->position; }

int tw_standby_apply_message(tw_standby *standby, double now, const tw_standby_message *message) {
    int follows = 1;
    tw_standby_update_authority(standby, now);
    if (standby->leads) return 1;
    if (message->kind == TW_STANDBY_DENIED) {
        handle_denial(standby, message);
        tw_standby_step(standby);
        return 1;
    }
    /* An earlier leader may still send changes of its term. */
    if (message->term < standby->latest_term) return 1;
    standby->latest_term = message->term;
    standby->active_seen_at = now;
    standby->successor[0] = 0;
    if (message->number > standby->active_number || message->term != standby->position.term)
        standby->active_number = message->number;
    if (message->kind == TW_STANDBY_CHANGE) follows = apply_change(standby, message);
    if (message->kind == TW_STANDBY_SNAPSHOT) follows = apply_snapshot_part(standby, message);
    if (message->kind == TW_STANDBY_HEARTBEAT) follows = handle_heartbeat(standby, message);
    update_lag(standby);
    tw_standby_step(standby);
    return follows;
}

/* ---- status of the followers ---- */

tw_standby_follower_status *tw_standby_followers(const tw_standby *standby, double now,
                                                 int *count) {
    const unsigned max_count = HASH_COUNT(standby->followers);
    tw_standby_follower_status *list = tw_standby_alloc(sizeof *list * max_count);
    const tw_standby_follower *each;
    *count = 0;
    for (each = standby->leads ? standby->followers : NULL; each; each = each->hh.next) {
        tw_standby_follower_status *next = &list[(*count)++];
        strcpy(next->name, each->name);
        next->lag = standby->view.number - each->number;
        next->silent_s = now - each->seen_at;
    }
    return list;
}
