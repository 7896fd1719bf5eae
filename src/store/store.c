/* Creation and freeing of the store, its rate limits, and queries about a record. */
#include "store/store_int.h"

/* All nodes share the rate limits of the state service. The leader may use this share of the
 * request limit, and bursts of this many seconds of the request limit and of its write limit. */
#define LEADER_REQUEST_SHARE 0.6
#define REQUEST_BURST_S 0.5
#define WRITE_BURST_S 0.9

tw_store *tw_store_new(tw_context *context, tw_cluster *cluster, const tw_store_owner *owner) {
    const tw_config *config = context->config;
    const double share = config->tune.write_share;
    const double write_rate = share * config->state_write_rps;
    tw_store *store = tw_alloc(sizeof *store);
    store->context = context;
    store->cluster = cluster;
    store->owner = *owner;
    store->write_limiter =
        tw_rate_limiter_make(write_rate, write_rate * WRITE_BURST_S, context->now);
    store->request_limiter =
        tw_rate_limiter_make(share * config->state_rps * LEADER_REQUEST_SHARE,
                             share * config->state_rps * REQUEST_BURST_S, context->now);
    return store;
}

void tw_store_free(tw_store *store) {
    tw_store_reset(store);
    free(store);
}

void tw_store_reset(tw_store *store) {
    store->pending = NULL;
    store->transactions_in_flight = 0;
    tw_store_clear_stale_sets(store);
    tw_store_free_loaded_sets(store);
    store->all_peers_support_chunks = store->any_peer_lacks_chunk_support = false;
}

/* ---- limits ---- */

bool tw_store_try_acquire_write(tw_store *store) {
    return tw_rate_limiter_try_acquire(&store->write_limiter, store->context->now, 1);
}

bool tw_store_try_acquire_request(tw_store *store) {
    return tw_rate_limiter_try_acquire(&store->request_limiter, store->context->now, 1);
}

double tw_store_backlog_s(tw_store *store) {
    int queued = 0;
    const tw_store_record *record;
    DL_FOREACH(store->pending, record) { queued += record->urgent || !record->exists; }
    const double available = tw_rate_limiter_available(&store->write_limiter, store->context->now);
    return queued > available ? (queued - available) / store->write_limiter.rate : 0;
}

double tw_store_transaction_timeout_s(const tw_store *store) {
    return fmax(TW_MIN_TRANSACTION_TIMEOUT_S,
                tw_cluster_lease_s(store->cluster) * TW_TRANSACTION_TIMEOUT_RATIO);
}

/* ---- records ---- */

tw_store_record *tw_store_record_new(const char *id, void *job) {
    tw_store_record *record = tw_alloc(sizeof *record);
    record->id = id;
    record->job = job;
    return record;
}

void tw_store_record_free(tw_store_record *record) {
    tw_store_free_set(record);
    free(record);
}

void tw_store_record_loaded(tw_store_record *record, uint64_t mod_revision) {
    record->exists = true;
    record->mod_revision = mod_revision;
    record->version = 1;
    record->durable_version = 1;
}

void tw_store_record_set_chunks(tw_store *store, tw_store_record *record, const char *chunk_set,
                                int chunk_count) {
    if (strcmp(record->current_set, chunk_set) != 0) {
        if (*record->current_set)
            tw_store_add_stale_set(store, record->id, record->current_set, record->current_chunks);
        snprintf(record->current_set, sizeof record->current_set, "%s", chunk_set);
    }
    record->current_chunks = chunk_count;
}

uint64_t tw_store_version(const tw_store_record *record) { return record->version; }

uint64_t tw_store_next_version(const tw_store_record *record) { return record->version + 1; }

bool tw_store_is_durable(const tw_store_record *record, uint64_t version) {
    return version <= record->durable_version;
}

bool tw_store_is_settled(const tw_store_record *record) {
    return record->version == record->durable_version;
}

bool tw_store_exists(const tw_store_record *record) { return record->exists; }

bool tw_store_is_idle(const tw_store_record *record) {
    return !record->queued && !record->in_flight;
}

bool tw_store_end_was_sent(const tw_store_record *record) { return record->end_sent; }

bool tw_store_is_refused(const tw_store_record *record) { return record->size_refusals > 0; }

double tw_store_retry_s(const tw_store *store, const tw_store_record *record) {
    return record->write_after - store->context->now;
}
