/* States of a controller, and the inputs that drive the transitions between them. */
#include "standby/standby_int.h"
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define JITTER_STEPS 16
#define NAME_FACTOR 31U /* base of the polynomial hash of names */

const char *tw_standby_state_name(tw_standby_state state) {
    static const char *const names[] = {"behind",  "following", "suspecting",
                                        "fencing", "checking",  "deciding"};
    return names[state];
}

void *tw_standby_alloc(size_t size) {
    void *memory = calloc(1, size ? size : 1);
    if (!memory) abort();
    return memory;
}

/* ---- effects ---- */

tw_standby_effect *tw_standby_emit(tw_standby *standby, tw_standby_effect_kind kind) {
    tw_standby_effect *effect = tw_standby_alloc(sizeof *effect);
    effect->kind = kind;
    if (standby->last_effect)
        standby->last_effect->next = effect;
    else
        standby->effects = effect;
    standby->last_effect = effect;
    return effect;
}

tw_standby_effect *tw_standby_next_effect(tw_standby *standby) {
    tw_standby_process_table_effects(standby);
    tw_standby_effect *first = standby->effects;
    if (!first) return NULL;
    standby->effects = first->next;
    if (!standby->effects) standby->last_effect = NULL;
    first->next = NULL;
    return first;
}

void tw_standby_effect_free(tw_standby_effect *effect) {
    if (!effect) return;
    tw_shards_effect_free(effect->table);
    free(effect->body);
    free(effect);
}

void tw_standby_log_event(tw_standby *standby, const char *format, ...) {
    va_list arguments;
    tw_standby_effect *effect = tw_standby_emit(standby, TW_STANDBY_LOG_LINE);
    va_start(arguments, format);
    vsnprintf(effect->line, sizeof effect->line, format, arguments);
    va_end(arguments);
}

/* ---- a standby's knowledge of the active controller ---- */

bool tw_standby_suspects_active(const tw_standby *standby) {
    return standby->now >
           standby->active_seen_at + standby->settings.lease_s * TW_STANDBY_SUSPECT_RATIO;
}

bool tw_standby_is_behind(const tw_standby *standby) {
    const double max_lag_s = standby->settings.lease_s * TW_STANDBY_SUSPECT_RATIO;
    const double longest_silence_s = standby->settings.lease_s * (1 + TW_STANDBY_SUSPECT_RATIO);
    if (!standby->view.loaded || standby->view.term < standby->latest_term) return true;
    /* The lease may have been renewed after the feed ended: changes may be missing. */
    if (standby->now > standby->active_seen_at + longest_silence_s) return true;
    return standby->lag_since > 0 && standby->active_seen_at > standby->lag_since + max_lag_s;
}

/* Returns a fraction that depends on the node's name, so that equally current standbys don't ask
 * for the lease at the same time. */
static double jitter_of(const char *name) {
    unsigned sum = 0;
    for (; *name; name++) sum = sum * NAME_FACTOR + (unsigned char)*name;
    return (double)(sum % JITTER_STEPS) / JITTER_STEPS;
}

/* Returns the delay before this node asks for the lease, which is shorter for the successor and for
 * the most current standbys. No standby waits for an action of another one. */
static double acquire_delay_of(const tw_standby *standby) {
    double ratio = TW_STANDBY_JITTER_RATIO * jitter_of(standby->settings.name);
    const bool is_successor =
        standby->successor[0] && !strcmp(standby->successor, standby->settings.name);
    if (is_successor) return 0;
    if (standby->successor[0] || tw_standby_is_behind(standby))
        ratio += TW_STANDBY_BEHIND_DELAY_RATIO;
    else if (standby->lag_since > 0)
        ratio += TW_STANDBY_LAGGING_DELAY_RATIO;
    return ratio * standby->settings.lease_s;
}

/* ---- state ---- */

static tw_standby_state state_of(const tw_standby *standby) {
    if (standby->leads)
        return tw_shards_is_deciding(standby->table) ? TW_STANDBY_DECIDING : TW_STANDBY_CHECKING;
    if (standby->lease.state == TW_STANDBY_LEASE_GRANTING ||
        standby->lease.state == TW_STANDBY_LEASE_WRITING)
        return TW_STANDBY_FENCING;
    if (tw_standby_suspects_active(standby)) return TW_STANDBY_SUSPECTING;
    return tw_standby_is_behind(standby) ? TW_STANDBY_BEHIND : TW_STANDBY_FOLLOWING;
}

static void update_state(tw_standby *standby) {
    const tw_standby_state state = state_of(standby);
    if (state == standby->state) return;
    standby->state = state;
    tw_standby_log_event(standby, "event=standby_state_changed state=%s term=%lu number=%lu",
                         tw_standby_state_name(state), (unsigned long)standby->latest_term,
                         (unsigned long)standby->view.number);
}

/* ---- terms ---- */

static void begin_term(tw_standby *standby) {
    tw_standby_log_event(standby, "event=leader_elected token=%lu",
                         (unsigned long)standby->lease.token);
    standby->leads = true;
    standby->began_checking = false;
    standby->term_reads = 0;
    standby->differences = 0;
    standby->successor[0] = 0;
    standby->latest_term = standby->lease.token;
    tw_shards_begin_term(standby->table, standby->now, TW_STANDBY_LEADER_KEY, standby->lease.token);
}

static void free_followers(tw_standby *standby) {
    tw_standby_follower *each;
    tw_standby_follower *next;
    HASH_ITER(hh, standby->followers, each, next) {
        HASH_DEL(standby->followers, each);
        free(each);
    }
}

/* Ends the present term. No further command of the term is sent. */
static void end_term(tw_standby *standby) {
    tw_standby_log_event(standby, "event=leader_stepped_down");
    standby->leads = false;
    tw_shards_end_term(standby->table);
    tw_standby_check_clear(standby);
    tw_standby_change_log_clear(&standby->log);
    free_followers(standby);
    standby->read_call = standby->write_call = standby->confirm_call = 0;
    standby->position = (tw_standby_position){0};
    standby->lag_since = 0;
    standby->active_seen_at = standby->now - standby->settings.lease_s;
}

static bool check_is_over(const tw_standby *standby) {
    const double wait_s = standby->settings.lease_s * TW_STANDBY_CHECK_RATIO;
    return !tw_standby_unanswered_count(standby) ||
           standby->now >= standby->checking_since + wait_s;
}

/* Begins checking once the table has been read, and ends it when all machines have answered or the
 * time limit has passed. Only machines that have not answered are quarantined. */
static void step_checking(tw_standby *standby) {
    if (!standby->leads || !tw_shards_is_ready(standby->table)) return;
    if (!standby->began_checking) {
        standby->began_checking = true;
        tw_standby_check_all(standby);
    }
    if (tw_shards_is_deciding(standby->table) || !check_is_over(standby)) return;
    tw_standby_log_unanswered(standby);
    tw_standby_log_event(standby, "event=decisions_started term=%lu quarantined=%d differences=%ld",
                         (unsigned long)standby->lease.token,
                         tw_shards_quarantined_count(standby->table), standby->differences);
    tw_shards_allow_decisions(standby->table, standby->now);
}

void tw_standby_update_authority(tw_standby *standby, double now) {
    standby->now = now;
    const bool leads = tw_standby_lease_leads(&standby->lease, now);
    const bool other_term = standby->leads && standby->latest_term != standby->lease.token;
    if (standby->leads && (!leads || other_term)) end_term(standby);
    if (leads && !standby->leads) begin_term(standby);
    if (leads) tw_shards_set_authority(standby->table, standby->lease.authority_until);
}

/* ---- lease ---- */

static void step_lease(tw_standby *standby) {
    tw_standby_lease *lease = &standby->lease;
    const bool silent = tw_standby_suspects_active(standby) && !standby->leads;
    lease->poll_s = lease->ttl_s * (silent ? TW_STANDBY_POLL_FAST_RATIO : TW_STANDBY_POLL_RATIO);
    if (silent && lease->state == TW_STANDBY_LEASE_FOLLOWING &&
        lease->next_at > standby->now + lease->poll_s)
        lease->next_at = standby->now + lease->poll_s;
    lease->acquire_delay_s = acquire_delay_of(standby);
    const tw_standby_lease_call due = tw_standby_lease_tick(lease, standby->now);
    if (due.path[0])
        standby->lease_call =
            tw_standby_emit_call(standby, due.method, due.path, due.body[0] ? due.body : NULL);
}

/* Handles a key of a later term. Its holder counts as seen now, so that it is not suspected before
 * its first message can arrive. */
static void observe_leader_key(tw_standby *standby) {
    if (standby->leads || standby->lease.leader_token <= standby->latest_term) return;
    standby->latest_term = standby->lease.leader_token;
    standby->active_seen_at = standby->now;
    standby->successor[0] = 0;
}

void tw_standby_step(tw_standby *standby) {
    observe_leader_key(standby);
    step_lease(standby);
    tw_standby_update_authority(standby, standby->now);
    step_checking(standby);
    update_state(standby);
}

/* ---- inputs ---- */

void tw_standby_tick(tw_standby *standby, double now, double wall) {
    tw_standby_update_authority(standby, now);
    tw_shards_tick(standby->table, now, wall);
    tw_standby_check_tick(standby);
    tw_standby_step(standby);
}

static void answer_promotion(tw_standby *standby, uint64_t id, tw_shards_verdict verdict) {
    tw_shards_effect *answer = tw_standby_alloc(sizeof *answer);
    *answer = (tw_shards_effect){.kind = TW_SHARDS_ANSWER, .id = id, .verdict = verdict};
    tw_standby_emit(standby, TW_STANDBY_ANSWER)->table = answer;
}

/* Answers the client that requested a promotion, also when the release has failed, since this node
 * has stopped deciding. */
static void handle_release_response(tw_standby *standby, int status) {
    const bool released = status == STATUS_OK || status == STATUS_ABSENT;
    if (!standby->promotion) return;
    answer_promotion(standby, standby->promotion, released ? TW_SHARDS_OK : TW_SHARDS_NOT_LEADER);
    standby->promotion = 0;
}

void tw_standby_handle_response(tw_standby *standby, double now, uint64_t id, int status,
                                const char *body, size_t length) {
    tw_standby_update_authority(standby, now);
    if (id == standby->lease_call)
        tw_standby_lease_handle_response(&standby->lease, now, status, body, length);
    else if (id == standby->release_call)
        handle_release_response(standby, status);
    else if (standby->leads && id == standby->read_call)
        tw_standby_handle_read_response(standby, status, body, length);
    else if (standby->leads && id == standby->confirm_call)
        tw_standby_handle_confirm_response(standby, status, body, length);
    else if (standby->leads && id == standby->write_call)
        tw_standby_handle_write_response(standby, status, body, length);
    tw_standby_update_authority(standby, now);
    tw_standby_step(standby);
}

void tw_standby_handle_request(tw_standby *standby, double now, const tw_shards_request *request) {
    tw_standby_update_authority(standby, now);
    if (!tw_standby_handle_registration(standby, request))
        tw_shards_add_request(standby->table, now, request);
    tw_standby_step(standby);
}

bool tw_standby_decides(tw_standby *standby, double now) {
    tw_standby_update_authority(standby, now);
    return standby->leads && tw_shards_is_deciding(standby->table);
}

/* ---- planned handover ---- */

void tw_standby_resign(tw_standby *standby, double now) {
    tw_standby_update_authority(standby, now);
    const tw_standby_lease_call release = tw_standby_lease_release(&standby->lease);
    standby->lease.next_at = now + standby->lease.poll_s;
    if (release.path[0])
        standby->release_call = tw_standby_emit_call(standby, release.method, release.path, NULL);
    tw_standby_update_authority(standby, now);
    update_state(standby);
}

static tw_shards_verdict check_promotion(const tw_standby *standby, const char *node) {
    const tw_standby_follower *found;
    if (!standby->leads || !tw_shards_is_deciding(standby->table) || standby->promotion)
        return TW_SHARDS_NOT_LEADER;
    if (!strcmp(node, standby->settings.name)) return TW_SHARDS_OK;
    HASH_FIND_STR(standby->followers, node, found);
    if (!found) return TW_SHARDS_UNKNOWN_NODE;
    if (standby->now > found->seen_at + standby->settings.lease_s * TW_STANDBY_SUSPECT_RATIO)
        return TW_SHARDS_NOT_FOLLOWING;
    return found->number == standby->view.number ? TW_SHARDS_OK : TW_SHARDS_BEHIND;
}

void tw_standby_promote(tw_standby *standby, double now, uint64_t id, const char *node) {
    tw_standby_update_authority(standby, now);
    const tw_shards_verdict verdict = check_promotion(standby, node);
    if (verdict != TW_SHARDS_OK || !strcmp(node, standby->settings.name)) {
        answer_promotion(standby, id, verdict);
        return;
    }
    tw_standby_log_event(standby, "event=leadership_handed_over to=%s number=%lu", node,
                         (unsigned long)standby->view.number);
    standby->promotion = id;
    tw_standby_resign(standby, now);
    strncpy(standby->successor, node, sizeof standby->successor - 1);
}

/* ---- for clients and operators ---- */

void tw_standby_leader(tw_standby *standby, double now, char control[TW_STANDBY_ADDRESS_SIZE],
                       double *retry_after_s) {
    const bool decides = tw_standby_decides(standby, now);
    const bool known = decides || (!standby->leads && !tw_standby_suspects_active(standby));
    snprintf(control, TW_STANDBY_ADDRESS_SIZE, "%s", known ? standby->lease.leader_control : "");
    *retry_after_s = control[0] ? 0 : standby->settings.lease_s * TW_STANDBY_POLL_FAST_RATIO;
}

const char *tw_standby_active_address(const tw_standby *standby) {
    return standby->lease.leader_control;
}

tw_standby_status tw_standby_status_of(tw_standby *standby, double now) {
    tw_standby_update_authority(standby, now);
    const bool lags = !standby->leads && standby->active_number > standby->view.number;
    return (tw_standby_status){.state = state_of(standby),
                               .term = standby->latest_term,
                               .number = standby->view.number,
                               .store_revision = standby->view.store_revision,
                               .digest = standby->view.digest,
                               .lag = lags ? standby->active_number - standby->view.number : 0,
                               .quarantined =
                                   standby->leads ? tw_shards_quarantined_count(standby->table) : 0,
                               .records = (int)HASH_COUNT(standby->view.records),
                               .differences = standby->differences,
                               .snapshots = standby->snapshots,
                               .gaps = standby->gaps};
}

/* ---- creation and destruction ---- */

tw_standby *tw_standby_new(const tw_standby_settings *settings, tw_shards *table, double now) {
    tw_standby *standby = tw_standby_alloc(sizeof *standby);
    standby->settings = *settings;
    standby->table = table;
    standby->now = standby->active_seen_at = now;
    tw_standby_lease_init(&standby->lease, settings->name, settings->control, settings->lease_s);
    standby->settings.name = standby->lease.name;
    standby->settings.control = standby->lease.control;
    return standby;
}

void tw_standby_free(tw_standby *standby) {
    tw_standby_effect *effect;
    if (!standby) return;
    tw_standby_check_clear(standby);
    while ((effect = tw_standby_next_effect(standby))) tw_standby_effect_free(effect);
    free_followers(standby);
    tw_standby_change_log_clear(&standby->log);
    tw_standby_view_clear(&standby->view);
    tw_standby_view_clear(&standby->staged);
    free(standby->write_body);
    free(standby);
}
