/* This node as a lease delegate: a node that renews the leases of workers in its zone on behalf of
 * a leader that it can't reach.
 *
 * A delegate answers workers under the leader's token and launches no tasks. It gets this
 * permission from the leader's answer to a peer heartbeat, or from a delegate key in the state
 * service, written by a transaction that compares the leader's key with this token. Both are valid
 * for a bounded time from the sending of the request.
 *
 * The tasks of a job that is cancelled meanwhile must have ended cancel_s after the cancellation
 * was confirmed to the user, the expiry of leases included. A delegate therefore reads the
 * cancelled jobs from the state service as often as the rate limit allows, and stops their tasks.
 * By its key it answers a worker only for tw_cluster_renewal_if_superseded_s after the leader last
 * answered the worker through this node, or after such a read began. */
#include "cluster/cluster_int.h"

#define PAGE_SIZE 500 /* records per request; the state service may return fewer */
#define PATH_SIZE 400
#define DATA_SIZE 96
#define CALL_TIMEOUT_S 1.0

/* Pauses as shares of a worker's lease: between two attempts to become a delegate; between two
 * reads of the cancelled jobs; and before a failed request of such a read is repeated. */
#define ATTEMPT_PAUSE_LEASES 0.1
#define READ_PAUSE_LEASES 0.4
#define READ_RETRY_LEASES 0.05

double tw_cluster_delegate_lease_s(const tw_cluster *cluster) {
    return 0.5 * cluster->context->config->lease_s;
}

void tw_cluster_delegate_key(char *key, const char *node) {
    snprintf(key, TW_DELEGATE_KEY_SIZE, TW_DELEGATE_KEY "%s", node);
}

bool tw_cluster_delegate_may_answer(const tw_cluster *cluster, const char *worker,
                                    const char *zone) {
    const double now = cluster->context->now;
    /* The leader assumes that only nodes in a worker's zone renew its lease by delegation. */
    if (cluster->role != TW_ROLE_FOLLOWER || strcmp(zone, cluster->context->config->location) != 0)
        return false;
    if (cluster->delegation_token && cluster->delegation_token == cluster->highest_token &&
        now < cluster->delegation_until)
        return true;
    const tw_expiring_name *forwarded = tw_expiring_names_find(cluster->forwarded_workers, worker);
    const double answered_at = forwarded ? forwarded->at : -INFINITY;
    const double read_at = cluster->cancelled_read_at > 0 ? cluster->cancelled_read_at : -INFINITY;
    return now < fmax(answered_at, read_at) + tw_cluster_renewal_if_superseded_s(cluster) &&
           cluster->delegate_token && cluster->delegate_token == cluster->highest_token &&
           now < cluster->delegate_until;
}

/* ---- messages of the leader ---- */

void tw_cluster_note_cancelled(tw_cluster *cluster, uint64_t token, const char *body, size_t len) {
    char(*ids)[TW_WIRE_ID_SIZE];
    int count;
    if (token != cluster->highest_token || cluster->role != TW_ROLE_FOLLOWER) return;
    /* Ids are kept for as long as a delegation and a worker's lease may last together, since an
     * answer to a heartbeat may be older than a heartbeat of the leader that arrived earlier. */
    tw_expiring_names_sweep(&cluster->announced_cancelled_jobs, cluster->context->now,
                            tw_cluster_renewal_without_contact_s(cluster) +
                                2 * cluster->context->config->lease_s);
    if (tw_wire_cancelled_jobs_parse(&ids, &count, body, len)) return;
    for (int i = 0; i < count; i++)
        tw_expiring_names_add(&cluster->announced_cancelled_jobs, ids[i], cluster->context->now);
    free(ids);
}

void tw_cluster_delegation_granted(tw_cluster *cluster, double sent_at, uint64_t token,
                                   const char *body, size_t len) {
    if (token != cluster->highest_token || cluster->role != TW_ROLE_FOLLOWER) return;
    tw_cluster_note_cancelled(cluster, token, body, len);
    cluster->delegation_token = token;
    cluster->delegation_until = sent_at + tw_cluster_renewal_without_contact_s(cluster) *
                                              (1 - 2 * cluster->context->config->tune.drift);
}

void tw_cluster_note_forwarded(tw_cluster *cluster, const char *worker, double sent_at) {
    const double now = cluster->context->now;
    tw_expiring_names_add(&cluster->forwarded_workers, worker, sent_at);
    if (now < cluster->next_forwarded_sweep_at) return;
    cluster->next_forwarded_sweep_at = now + cluster->context->config->lease_s;
    tw_expiring_names_sweep(&cluster->forwarded_workers, now,
                            tw_cluster_renewal_if_superseded_s(cluster));
}

/* ---- reading the cancelled jobs from the state service ---- */

/* Requests the next page of job records. */
static void list_cancelled_jobs(tw_cluster *cluster) {
    char path[PATH_SIZE];
    const int length = snprintf(path, sizeof path, "/kv?starts=" TW_JOB_KEY "&most=%d", PAGE_SIZE);
    if (*cluster->cancelled_list_cursor)
        snprintf(path + length, sizeof path - (size_t)length, "&since=%s",
                 cluster->cancelled_list_cursor);
    else
        cluster->cancelled_list_began_at = cluster->context->now;
    cluster->cancelled_list_in_flight = true;
    tw_call_send(cluster->context, TW_CALL_LIST_CANCELLED_JOBS, TW_TO_STATE,
                 cluster->context->config->state, "GET", path, NULL, CALL_TIMEOUT_S);
}

/* Adds the job of the record to the cancelled jobs if it is cancelled. */
static void note_listed(tw_cluster *cluster, const tw_wire_entry *entry) {
    const size_t prefix = sizeof TW_JOB_KEY - 1;
    if (strlen(entry->key) <= prefix) return;
    if (tw_wire_record_state(entry->value, strlen(entry->value)) != TW_JOB_CANCELLED) return;
    tw_expiring_names_add(&cluster->listed_cancelled_jobs, entry->key + prefix,
                          cluster->context->now);
}

void tw_cluster_cancelled_page(tw_cluster *cluster, int status, const char *body, size_t len) {
    tw_wire_entry *entries;
    int count, more;
    cluster->cancelled_list_in_flight = false;
    if (status != TW_HTTP_OK || tw_wire_entries_parse(&entries, &count, &more, body, len)) {
        /* The read resumes at the failed page, since under load some request of each read is
         * refused. */
        cluster->next_cancelled_list_at =
            cluster->context->now + READ_RETRY_LEASES * cluster->context->config->lease_s;
        return;
    }
    for (int i = 0; i < count; i++) note_listed(cluster, &entries[i]);
    *cluster->cancelled_list_cursor = 0;
    if (more && count) {
        snprintf(cluster->cancelled_list_cursor, sizeof cluster->cancelled_list_cursor, "%s",
                 entries[count - 1].key);
        list_cancelled_jobs(cluster);
    } else {
        cluster->cancelled_read_at =
            fmax(cluster->cancelled_read_at, cluster->cancelled_list_began_at);
    }
    tw_wire_entries_free(entries, count);
}

void tw_cluster_delegate_tick(tw_cluster *cluster) {
    const double now = cluster->context->now;
    if (cluster->role != TW_ROLE_FOLLOWER || now >= cluster->delegate_until) {
        if (cluster->listed_cancelled_jobs && !cluster->cancelled_list_in_flight)
            tw_expiring_names_clear(&cluster->listed_cancelled_jobs);
        return;
    }
    if (cluster->cancelled_list_in_flight || now < cluster->next_cancelled_list_at) return;
    cluster->next_cancelled_list_at = now + READ_PAUSE_LEASES * cluster->context->config->lease_s;
    list_cancelled_jobs(cluster);
}

/* ---- the delegate key, and answers to workers ---- */

void tw_cluster_request_delegation(tw_cluster *cluster) {
    const double now = cluster->context->now;
    /* Every held heartbeat requests a delegation, and the leader shares the state service's rate
     * limit, so the attempts are limited. */
    if (cluster->delegate_write_in_flight || now < cluster->next_delegate_attempt_at) return;
    if (!cluster->leader_token || cluster->leader_token != cluster->highest_token) return;
    if (cluster->role != TW_ROLE_FOLLOWER) return;
    char key[TW_DELEGATE_KEY_SIZE];
    char data[DATA_SIZE];
    tw_cluster_delegate_key(key, cluster->context->config->host_name);
    snprintf(data, sizeof data, "{\"token\":%llu,\"n\":%llu}",
             (unsigned long long)cluster->leader_token,
             (unsigned long long)++cluster->delegate_sequence);
    const tw_wire_compare compare = {TW_LEADER_KEY, cluster->leader_token};
    const tw_wire_write key_write = {key, data, 0};
    tw_call *sent = tw_call_send(cluster->context, TW_CALL_WRITE_DELEGATE_KEY, TW_TO_STATE,
                                 cluster->context->config->state, "POST", "/txn",
                                 tw_wire_txn_text(&compare, 1, &key_write, 1), CALL_TIMEOUT_S);
    sent->tokens = tw_alloc(sizeof *sent->tokens);
    sent->tokens[0] = cluster->leader_token;
    cluster->delegate_write_in_flight = true;
    cluster->next_delegate_attempt_at =
        now + ATTEMPT_PAUSE_LEASES * cluster->context->config->lease_s;
}

void tw_cluster_delegate_key_response(tw_cluster *cluster, const tw_call *sent, int status) {
    const double now = cluster->context->now;
    cluster->delegate_write_in_flight = false;
    if (status == TW_HTTP_OK || status == TW_HTTP_CONFLICT) cluster->store_answered_at = now;
    if (status != TW_HTTP_OK) return;
    if (now >= cluster->delegate_until)
        tw_log_info("event=delegate_key_written token=%llu", (unsigned long long)sent->tokens[0]);
    cluster->delegate_token = sent->tokens[0];
    cluster->delegate_until = sent->sent_at + tw_cluster_delegate_lease_s(cluster) *
                                                  (1 - 2 * cluster->context->config->tune.drift);
    cluster->owner.delegate_ready(cluster->owner.owner);
    tw_cluster_delegate_tick(cluster);
}

void tw_cluster_note_delegate_answer(tw_cluster *cluster) {
    const double now = cluster->context->now;
    /* A delegation by heartbeat can't be renewed without the leader; a delegate key can be renewed
     * while the state service is reachable. */
    if (now > cluster->delegate_until - 0.5 * tw_cluster_delegate_lease_s(cluster))
        tw_cluster_request_delegation(cluster);
    if (now > cluster->delegate_answered_at + cluster->context->config->lease_s)
        tw_log_info("event=delegate_took_over token=%llu",
                    (unsigned long long)cluster->highest_token);
    cluster->delegate_answered_at = now;
}

bool tw_cluster_delegate_must_stop_job(const tw_cluster *cluster, const char *job) {
    return tw_expiring_names_find(cluster->listed_cancelled_jobs, job) ||
           tw_expiring_names_find(cluster->announced_cancelled_jobs, job);
}

void tw_cluster_free_delegate(tw_cluster *cluster) {
    tw_expiring_names_clear(&cluster->listed_cancelled_jobs);
    tw_expiring_names_clear(&cluster->announced_cancelled_jobs);
    tw_expiring_names_clear(&cluster->forwarded_workers);
}
