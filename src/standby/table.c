/* The table's calls to the state service. A new active controller confirms its view by a single
 * call if the view is loaded, and reads all records otherwise; then it applies its writes to the
 * view. */
#include "standby/standby_int.h"
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

uint64_t tw_standby_emit_call(tw_standby *standby, const char *method, const char *path,
                              const char *body) {
    tw_standby_effect *effect = tw_standby_emit(standby, TW_STANDBY_CALL);
    effect->id = ++standby->last_call;
    effect->method = method;
    snprintf(effect->path, sizeof effect->path, "%s", path);
    if (!body) return effect->id;
    effect->body = strdup(body);
    if (!effect->body) abort();
    return effect->id;
}

/* ---- reading ---- */

static void read_records(tw_standby *standby, const char *after) {
    char path[TW_STANDBY_PATH_SIZE];
    snprintf(path, sizeof path, "/kv?starts=%s%s%s&most=%d", TW_SHARDS_PREFIX,
             after[0] ? "&since=" : "", after, TW_SHARDS_PAGE);
    if (!after[0]) tw_standby_view_clear(&standby->view);
    standby->read_call = tw_standby_emit_call(standby, "GET", path, NULL);
}

/* Reads the changes since the view's revision. Nothing else can differ, since every write to a
 * record is conditional on the record's revision. */
static void confirm_view(tw_standby *standby) {
    char path[TW_STANDBY_PATH_SIZE];
    snprintf(path, sizeof path, "/follow?starts=%s&since=%lu&holdMs=0", TW_SHARDS_PREFIX,
             (unsigned long)standby->view.store_revision);
    standby->confirm_call = tw_standby_emit_call(standby, "GET", path, NULL);
}

/* Begins a read of the table's records. The first read of a term uses the view that this node has
 * followed; later ones follow a write with unknown outcome and use the state service. */
static void begin_read(tw_standby *standby, const tw_shards_effect *effect) {
    standby->read_id = effect->id;
    const bool first = !standby->term_reads++;
    if (first && standby->view.loaded)
        confirm_view(standby);
    else
        read_records(standby, effect->text);
}

/* Completes a new view under the next number and clears the change log, so that followers get a
 * snapshot. */
static void start_new_view(tw_standby *standby) {
    standby->view.loaded = true;
    standby->view.term = standby->lease.token;
    standby->view.number = standby->active_number = standby->active_number + 1;
    tw_standby_change_log_clear(&standby->log);
}

void tw_standby_handle_read_response(tw_standby *standby, int status, const char *body,
                                     size_t length) {
    tw_wire_entry *entries = NULL;
    int count = 0;
    int more = 0;
    uint64_t store_revision = 0;
    const bool valid = status == STATUS_OK &&
                       !tw_wire_entries_parse(&entries, &count, &more, body, length) &&
                       !tw_wire_revision_parse(&store_revision, body, length);
    if (valid) {
        /* The first page's revision holds for all pages: later pages may contain only some of the
         * changes since. */
        if (!standby->view.store_revision) standby->view.store_revision = store_revision;
        tw_standby_view_apply(&standby->view, entries, count);
        if (!more) start_new_view(standby);
    }
    tw_wire_entries_free(entries, count);
    tw_shards_handle_page(standby->table, standby->now, standby->read_id, valid ? body : NULL,
                          length);
}

/* Applies the changes since the view's revision. The revision of the response must be at least the
 * term's token, since a write of an earlier term may succeed until the key is written. */
void tw_standby_handle_confirm_response(tw_standby *standby, int status, const char *body,
                                        size_t length) {
    tw_wire_entry *changes = NULL;
    int count = 0;
    uint64_t store_revision = 0;
    const bool valid = status == STATUS_OK &&
                       !tw_wire_revision_parse(&store_revision, body, length) &&
                       store_revision >= standby->lease.token &&
                       !tw_wire_changes_parse("log", &changes, &count, body, length);
    if (!valid) {
        tw_standby_log_event(standby, "event=view_refused status=%d", status);
        read_records(standby, "");
        return;
    }
    tw_standby_view_apply(&standby->view, changes, count);
    tw_wire_entries_free(changes, count);
    standby->differences += count;
    standby->view.store_revision = store_revision;
    start_new_view(standby);
    tw_standby_log_event(standby, "event=view_confirmed revision=%lu changes=%d",
                         (unsigned long)store_revision, count);
    char *list = tw_standby_view_list(&standby->view);
    tw_shards_handle_page(standby->table, standby->now, standby->read_id, list, strlen(list));
    free(list);
    if (tw_shards_is_ready(standby->table)) return;
    tw_standby_log_event(standby, "event=view_unreadable");
    tw_standby_view_clear(&standby->view);
}

/* ---- writing ---- */

static void begin_write(tw_standby *standby, tw_shards_effect *effect) {
    standby->write_id = effect->id;
    free(standby->write_body);
    standby->write_body = strdup(effect->text);
    if (!standby->write_body) abort();
    standby->write_call = tw_standby_emit_call(standby, "POST", "/txn", effect->text);
}

static tw_shards_outcome outcome_of(int status) {
    if (status == STATUS_OK) return TW_SHARDS_APPLIED;
    if (status == STATUS_CONFLICT || status == STATUS_BAD) return TW_SHARDS_REFUSED;
    return status == STATUS_TOO_MANY || status >= STATUS_FAILURE ? TW_SHARDS_NOT_EXECUTED
                                                                 : TW_SHARDS_UNKNOWN;
}

/* Adds the entries that the transaction wrote as the next numbered change. */
static void add_change(tw_standby *standby, uint64_t revision) {
    tw_wire_entry *changes;
    int count;
    const char *body = standby->write_body;
    if (tw_wire_changes_parse("apply", &changes, &count, body, strlen(body))) return;
    for (int i = 0; i < count; i++) changes[i].mod_revision = revision;
    tw_standby_view_apply(&standby->view, changes, count);
    standby->view.store_revision = revision;
    standby->view.number = ++standby->active_number;
    tw_standby_change_log_add(&standby->log, &standby->view, changes, count);
}

void tw_standby_handle_write_response(tw_standby *standby, int status, const char *body,
                                      size_t length) {
    uint64_t revision = 0;
    tw_shards_outcome outcome = outcome_of(status);
    if (outcome == TW_SHARDS_APPLIED && tw_wire_revision_parse(&revision, body, length))
        outcome = TW_SHARDS_UNKNOWN;
    if (outcome == TW_SHARDS_APPLIED) add_change(standby, revision);
    tw_shards_handle_outcome(standby->table, standby->now, standby->write_id, outcome, revision);
}

/* ---- effects of the table ---- */

static void emit_table_effect(tw_standby *standby, tw_standby_effect_kind kind,
                              tw_shards_effect *effect) {
    tw_standby_emit(standby, kind)->table = effect;
}

void tw_standby_process_table_effects(tw_standby *standby) {
    tw_shards_effect *effect;
    while ((effect = tw_shards_next_effect(standby->table))) {
        bool handed_over = false; /* the emitted effect owns `effect` */
        switch (effect->kind) {
        case TW_SHARDS_READ:
            begin_read(standby, effect);
            break;
        case TW_SHARDS_WRITE:
            begin_write(standby, effect);
            break;
        case TW_SHARDS_NOTIFY:
            emit_table_effect(standby, TW_STANDBY_NOTIFY, effect);
            handed_over = true;
            break;
        case TW_SHARDS_ANSWER:
            handed_over = !tw_standby_handle_registration_result(standby, effect);
            if (handed_over) emit_table_effect(standby, TW_STANDBY_ANSWER, effect);
            break;
        }
        if (!handed_over) tw_shards_effect_free(effect);
    }
}
