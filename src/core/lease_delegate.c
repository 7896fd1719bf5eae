/* A node that renews its zone's leases for a leader that it can't reach: a deputy.
 *
 * It answers under the leader's token and without launches. It is entitled by the leader's answer
 * to a heartbeat, or by a key in the state service, written under the condition that the leader's
 * key is still the one with this token; both for a bounded time from the request's sending.
 *
 * The tasks of a job cancelled meanwhile must be gone cancel_s after its user was told, lapsing
 * included. So a deputy reads, as often as it can, which jobs are cancelled, and stops their tasks;
 * by its key it answers a worker only for tw_renewal_if_superseded_s after the leader last did
 * through it, or after it began such a reading. */
#include "core/workers.h"
#include "core/heartbeat_forwarder.h"
#include <stdbool.h>

#define MAX_KILLS 500 /* in an answer, which stays under 64 KiB; the rest in the next one */
#define PAGE_SIZE 500 /* records a request; the service may send fewer */
#define TW_JOB_KEY "job/"
#define PATH_SIZE 400
#define DATA_SIZE 96

/* Times in leases: between two attempts to become a deputy, between two readings of the cancelled
 * jobs, and until a refused request of such a reading is made again. */
#define ATTEMPT_LEASES 0.1
#define READ_LEASES 0.4
#define REFUSED_LEASES 0.05

double tw_delegate_lease_s(const tw_core *core) { return 0.5 * core->context.config->lease_s; }

void tw_delegate_key(char *key, const char *node) {
    snprintf(key, TW_DELEGATE_KEY_SIZE, TW_DELEGATE_KEY "%s", node);
}

bool tw_delegate_is_entitled(tw_core *core, const char *worker, const char *zone) {
    /* The leader counts on it that only nodes of its own zone renew a machine's lease without it.
     */
    if (core->role != TW_ROLE_FOLLOWER || strcmp(zone, core->context.config->location) != 0)
        return false;
    if (core->delegation_token && core->delegation_token == core->highest_token_seen &&
        core->context.now < core->delegation_until)
        return true;
    const tw_expiring_name *relayed = tw_expiring_names_find(core->forwarded_workers, worker);
    const double answered_at = relayed ? relayed->at : -INFINITY;
    const double read_at = core->cancelled_read_at > 0 ? core->cancelled_read_at : -INFINITY;
    return core->context.now < fmax(answered_at, read_at) + tw_renewal_if_superseded_s(core) &&
           core->delegate_token && core->delegate_token == core->highest_token_seen &&
           core->context.now < core->delegate_until;
}

/* ---- what the leader says ---- */

void tw_delegate_note_cancelled(tw_core *core, uint64_t token, const char *body, size_t len) {
    char(*ids)[TW_WIRE_ID_SIZE];
    int count;
    if (token != core->highest_token_seen || core->role != TW_ROLE_FOLLOWER) return;
    /* An id is kept for as long as a grant and a lease may last: an answer may be older than a
     * heartbeat that came before it. */
    tw_expiring_names_sweep(&core->announced_cancelled_jobs, core->context.now,
                            tw_renewal_without_contact_s(core) + 2 * core->context.config->lease_s);
    if (tw_wire_cancelled_jobs_parse(&ids, &count, body, len)) return;
    for (int i = 0; i < count; i++)
        tw_expiring_names_add(&core->announced_cancelled_jobs, ids[i], core->context.now);
    free(ids);
}

void tw_delegate_granted(tw_core *core, double sent, uint64_t token, const char *body, size_t len) {
    if (token != core->highest_token_seen || core->role != TW_ROLE_FOLLOWER) return;
    tw_delegate_note_cancelled(core, token, body, len);
    core->delegation_token = token;
    core->delegation_until =
        sent + tw_renewal_without_contact_s(core) * (1 - 2 * core->context.config->tune.drift);
}

void tw_delegate_note_forwarded(tw_core *core, const char *worker, double at) {
    tw_expiring_names_add(&core->forwarded_workers, worker, at);
    if (core->context.now < core->next_forwarded_sweep_at) return;
    core->next_forwarded_sweep_at = core->context.now + core->context.config->lease_s;
    tw_expiring_names_sweep(&core->forwarded_workers, core->context.now,
                            tw_renewal_if_superseded_s(core));
}

/* ---- cancelled jobs, from the state service ---- */

static void list_cancelled_jobs(tw_core *core) {
    char path[PATH_SIZE];
    const int length = snprintf(path, sizeof path, "/kv?starts=" TW_JOB_KEY "&most=%d", PAGE_SIZE);
    if (*core->cancelled_list_cursor)
        snprintf(path + length, sizeof path - (size_t)length, "&since=%s",
                 core->cancelled_list_cursor);
    else
        core->cancelled_list_began_at = core->context.now;
    core->cancelled_list_in_flight = true;
    tw_call_send(&core->context, TW_CALL_LIST_CANCELLED_JOBS, TW_TO_STATE,
                 core->context.config->state, "GET", path, NULL, 1);
}

void tw_delegate_cancelled_page(tw_core *core, int status, const char *body, size_t len) {
    tw_wire_entry *entries;
    int count, more;
    core->cancelled_list_in_flight = false;
    if (status != TW_HTTP_OK || tw_wire_entries_parse(&entries, &count, &more, body, len)) {
        /* Goes on where it stopped: under load some request is always refused. */
        core->next_cancelled_list_at =
            core->context.now + REFUSED_LEASES * core->context.config->lease_s;
        return;
    }
    const size_t prefix = sizeof TW_JOB_KEY - 1;
    for (int i = 0; i < count; i++) {
        const tw_wire_entry *entry = &entries[i];
        if (strlen(entry->key) > prefix &&
            tw_wire_record_state(entry->value, strlen(entry->value)) == TW_JOB_CANCELLED)
            tw_expiring_names_add(&core->listed_cancelled_jobs, entry->key + prefix,
                                  core->context.now);
    }
    *core->cancelled_list_cursor = 0;
    if (more && count) {
        snprintf(core->cancelled_list_cursor, sizeof core->cancelled_list_cursor, "%s",
                 entries[count - 1].key);
        list_cancelled_jobs(core);
    } else {
        core->cancelled_read_at = fmax(core->cancelled_read_at, core->cancelled_list_began_at);
    }
    tw_wire_entries_free(entries, count);
}

void tw_delegate_tick(tw_core *core) {
    if (core->role != TW_ROLE_FOLLOWER || core->context.now >= core->delegate_until) {
        if (core->listed_cancelled_jobs && !core->cancelled_list_in_flight)
            tw_expiring_names_clear(&core->listed_cancelled_jobs);
        return;
    }
    if (core->cancelled_list_in_flight || core->context.now < core->next_cancelled_list_at) return;
    core->next_cancelled_list_at = core->context.now + READ_LEASES * core->context.config->lease_s;
    list_cancelled_jobs(core);
}

/* ---- the key, and answers by it ---- */

/* Writes this node's key as a deputy. */
static void write_delegate_key(tw_core *core) {
    /* Every report that waits asks for it: the state service's limit is shared with the leader. */
    if (core->delegate_write_in_flight || core->context.now < core->next_delegate_attempt_at ||
        !core->leader_token || core->leader_token != core->highest_token_seen ||
        core->role != TW_ROLE_FOLLOWER)
        return;
    char key[TW_DELEGATE_KEY_SIZE];
    char data[DATA_SIZE];
    tw_delegate_key(key, core->context.config->host_name);
    snprintf(data, sizeof data, "{\"token\":%llu,\"n\":%llu}",
             (unsigned long long)core->leader_token, (unsigned long long)++core->delegate_sequence);
    tw_wire_compare compare = {TW_LEADER_KEY, core->leader_token};
    tw_wire_write written = {key, data, 0};
    tw_call *sent = tw_call_send(&core->context, TW_CALL_WRITE_DELEGATE_KEY, TW_TO_STATE,
                                 core->context.config->state, "POST", "/txn",
                                 tw_wire_txn_text(&compare, 1, &written, 1), 1);
    sent->tokens = tw_alloc(sizeof *sent->tokens);
    sent->tokens[0] = core->leader_token;
    core->delegate_write_in_flight = true;
    core->next_delegate_attempt_at =
        core->context.now + ATTEMPT_LEASES * core->context.config->lease_s;
}

void tw_delegate_key_response(tw_core *core, tw_call *sent, int status) {
    core->delegate_write_in_flight = false;
    if (status == TW_HTTP_OK || status == TW_HTTP_CONFLICT)
        core->store_answered_at = core->context.now;
    if (status != TW_HTTP_OK) return;
    if (core->context.now >= core->delegate_until)
        tw_log_info("event=delegate_key_written token=%llu", (unsigned long long)sent->tokens[0]);
    core->delegate_token = sent->tokens[0];
    core->delegate_until =
        sent->sent_at + tw_delegate_lease_s(core) * (1 - 2 * core->context.config->tune.drift);
    tw_held_heartbeats_retry(core);
    tw_delegate_tick(core);
}

/* Renews the worker's lease and stops its tasks of cancelled jobs. */
static void answer_worker(tw_core *core, uint64_t connection, const tw_wire_heartbeat *heartbeat) {
    if (core->context.now > core->delegate_answered_at + core->context.config->lease_s)
        tw_log_info("event=delegate_took_over token=%llu",
                    (unsigned long long)core->highest_token_seen);
    core->delegate_answered_at = core->context.now;
    tw_command_list commands = tw_command_list_new(core);
    for (int i = 0; i < heartbeat->task_count && commands.count < MAX_KILLS; i++) {
        const tw_wire_task *task = &heartbeat->tasks[i];
        if (task->state == TW_TASK_EXITED) continue;
        if (!tw_expiring_names_find(core->listed_cancelled_jobs, task->job) &&
            !tw_expiring_names_find(core->announced_cancelled_jobs, task->job))
            continue;
        const tw_wire_command stop = {
            .kind = TW_COMMAND_STOP, .index = task->index, .attempt = task->attempt};
        tw_command_list_add(&commands, stop, task->job);
    }
    char *text = tw_commands_delegate_text(core, heartbeat, &commands);
    if (text)
        tw_reply(&core->context, connection, TW_HTTP_OK, 0, text);
    else
        tw_reply_error(&core->context, connection, TW_HTTP_UNAVAILABLE, 1, "no right to answer");
}

bool tw_delegate_answer_heartbeat(tw_core *core, uint64_t connection,
                                  const tw_wire_heartbeat *heartbeat) {
    if (!tw_delegate_is_entitled(core, heartbeat->worker, heartbeat->zone)) {
        if (!strcmp(heartbeat->zone, core->context.config->location)) write_delegate_key(core);
        return false;
    }
    /* The grant ends; a key, where the state service can be reached, goes on. */
    if (core->context.now > core->delegate_until - 0.5 * tw_delegate_lease_s(core))
        write_delegate_key(core);
    answer_worker(core, connection, heartbeat);
    return true;
}

void tw_delegate_free(tw_core *core) {
    tw_expiring_names_clear(&core->listed_cancelled_jobs);
    tw_expiring_names_clear(&core->announced_cancelled_jobs);
    tw_expiring_names_clear(&core->forwarded_workers);
}
