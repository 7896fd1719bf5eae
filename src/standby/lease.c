/* The leader key: a key of the state service that is attached to a lease.
 *
 * Authority is counted from the time at which the last successful renewal was sent, and ends before
 * the state service can let the lease expire; so at most one node has it. A node whose lease has
 * expired becomes a follower again. */
#include "standby/standby_int.h"
#include <cjson/cJSON.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000.0

void tw_standby_lease_init(tw_standby_lease *lease, const char *name, const char *control,
                           double ttl_s) {
    memset(lease, 0, sizeof *lease);
    snprintf(lease->name, sizeof lease->name, "%s", name);
    snprintf(lease->control, sizeof lease->control, "%s", control);
    lease->ttl_s = ttl_s;
    lease->poll_s = ttl_s * TW_STANDBY_POLL_RATIO;
}

bool tw_standby_lease_leads(const tw_standby_lease *lease, double now) {
    return lease->state == TW_STANDBY_LEASE_LEADING && now < lease->authority_until;
}

static void become_follower(tw_standby_lease *lease, double now, double pause_s) {
    lease->state = TW_STANDBY_LEASE_FOLLOWING;
    lease->authority_until = 0;
    lease->token = lease->lease_id = 0;
    lease->absent_since = 0;
    lease->next_at = now + pause_s;
}

/* ---- calls to the state service ---- */

static tw_standby_lease_call read_key_call(void) {
    tw_standby_lease_call call = {.method = "GET"};
    snprintf(call.path, sizeof call.path, "/kv/%s", TW_STANDBY_LEADER_KEY);
    return call;
}

static tw_standby_lease_call grant_lease_call(const tw_standby_lease *lease) {
    tw_standby_lease_call call = {.method = "POST"};
    snprintf(call.path, sizeof call.path, "/grants");
    snprintf(call.body, sizeof call.body, "{\"lifeMs\":%.0f}", lease->ttl_s * MS_PER_S);
    return call;
}

static tw_standby_lease_call write_key_call(const tw_standby_lease *lease) {
    tw_standby_lease_call call = {.method = "POST"};
    snprintf(call.path, sizeof call.path, "/txn");
    snprintf(call.body, sizeof call.body,
             "{\"if\":[{\"k\":\"%s\",\"stamp\":0}],\"apply\":[{\"write\":\"%s\",\"data\":{"
             "\"name\":\"%s\",\"control\":\"%s\"},\"hold\":%lu}]}",
             TW_STANDBY_LEADER_KEY, TW_STANDBY_LEADER_KEY, lease->name, lease->control,
             (unsigned long)lease->lease_id);
    return call;
}

static tw_standby_lease_call renew_lease_call(const tw_standby_lease *lease) {
    tw_standby_lease_call call = {.method = "POST", .body = "{}"};
    snprintf(call.path, sizeof call.path, "/grants/%lu/renew", (unsigned long)lease->lease_id);
    return call;
}

tw_standby_lease_call tw_standby_lease_tick(tw_standby_lease *lease, double now) {
    const tw_standby_lease_call none = {.method = "GET"};
    if (lease->state == TW_STANDBY_LEASE_LEADING && now >= lease->authority_until)
        become_follower(lease, now, 0);
    if (lease->call_in_flight || now < lease->next_at) return none;
    lease->call_in_flight = true;
    lease->sent_in_state = lease->state;
    lease->sent_at = now;
    switch (lease->state) {
    case TW_STANDBY_LEASE_GRANTING:
        return grant_lease_call(lease);
    case TW_STANDBY_LEASE_WRITING:
        return write_key_call(lease);
    case TW_STANDBY_LEASE_LEADING:
        return renew_lease_call(lease);
    default:
        return read_key_call();
    }
}

tw_standby_lease_call tw_standby_lease_release(tw_standby_lease *lease) {
    tw_standby_lease_call call = {.method = "DELETE"};
    if (lease->lease_id)
        snprintf(call.path, sizeof call.path, "/grants/%lu", (unsigned long)lease->lease_id);
    lease->state = TW_STANDBY_LEASE_FOLLOWING;
    lease->authority_until = 0;
    lease->lease_id = lease->written_lease_id = 0;
    return call;
}

/* ---- responses of the state service ---- */

static void read_text(const cJSON *object, const char *name, char *to, size_t size) {
    const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
    snprintf(to, size, "%s", cJSON_IsString(item) ? item->valuestring : "");
}

/* Starts leading. Authority is counted from the time at which the lease was requested, since the
 * lease began no earlier. */
static void begin_leading(tw_standby_lease *lease, double now, uint64_t token) {
    lease->state = TW_STANDBY_LEASE_LEADING;
    lease->lease_id = lease->written_lease_id;
    lease->token = lease->leader_token = token;
    lease->authority_until = lease->granted_at + lease->ttl_s * (1 - TW_STANDBY_MARGIN_RATIO);
    lease->next_at = now;
    snprintf(lease->leader_name, sizeof lease->leader_name, "%s", lease->name);
    snprintf(lease->leader_control, sizeof lease->leader_control, "%s", lease->control);
}

/* Handles the absence of the key: asks for a lease once acquire_delay_s has passed, and polls the
 * key until then. */
static void handle_absent_key(tw_standby_lease *lease, double now) {
    lease->leader_name[0] = lease->leader_control[0] = 0;
    lease->leader_token = 0;
    if (lease->absent_since <= 0) lease->absent_since = now;
    const double begin_at = lease->absent_since + lease->acquire_delay_s;
    if (now >= begin_at) {
        lease->state = TW_STANDBY_LEASE_GRANTING;
        lease->next_at = now;
    } else {
        lease->next_at = fmin(begin_at, now + lease->poll_s);
    }
}

static void handle_key_response(tw_standby_lease *lease, double now, int status, const char *body,
                                size_t length) {
    if (status == STATUS_ABSENT) {
        handle_absent_key(lease, now);
        return;
    }
    lease->absent_since = 0;
    lease->next_at = now + lease->poll_s;
    if (status != STATUS_OK) return;
    cJSON *entry = cJSON_ParseWithLength(body, length);
    const cJSON *data = cJSON_GetObjectItemCaseSensitive(entry, "data");
    const cJSON *mod_revision = cJSON_GetObjectItemCaseSensitive(entry, "stamp");
    read_text(data, "name", lease->leader_name, sizeof lease->leader_name);
    read_text(data, "control", lease->leader_control, sizeof lease->leader_control);
    lease->leader_token = cJSON_IsNumber(mod_revision) ? (uint64_t)mod_revision->valuedouble : 0;
    const cJSON *lease_id = cJSON_GetObjectItemCaseSensitive(entry, "hold");
    /* This node's own write of the key succeeded, but the response was lost. */
    if (cJSON_IsNumber(lease_id) && lease->written_lease_id &&
        (uint64_t)lease_id->valuedouble == lease->written_lease_id)
        begin_leading(lease, now, lease->leader_token);
    cJSON_Delete(entry);
}

static void handle_grant_response(tw_standby_lease *lease, double now, int status, const char *body,
                                  size_t length) {
    if (status == STATUS_OK && !tw_wire_lease_id_parse(&lease->lease_id, body, length))
        lease->state = TW_STANDBY_LEASE_WRITING;
    else
        become_follower(lease, now, lease->poll_s);
    lease->written_lease_id = lease->lease_id;
}

static void handle_write_response(tw_standby_lease *lease, double now, int status, const char *body,
                                  size_t length) {
    uint64_t revision;
    if (status != STATUS_OK || tw_wire_revision_parse(&revision, body, length)) {
        become_follower(lease, now, lease->poll_s);
        return;
    }
    begin_leading(lease, now, revision);
}

static void handle_renewal_response(tw_standby_lease *lease, double now, int status) {
    if (status == STATUS_ABSENT) {
        become_follower(lease, now, 0);
        return;
    }
    if (status == STATUS_OK)
        lease->authority_until = lease->sent_at + lease->ttl_s * (1 - TW_STANDBY_MARGIN_RATIO);
    lease->next_at = lease->sent_at + lease->ttl_s / TW_STANDBY_RENEWALS_PER_LEASE;
}

void tw_standby_lease_handle_response(tw_standby_lease *lease, double now, int status,
                                      const char *body, size_t length) {
    if (!lease->call_in_flight) return;
    lease->call_in_flight = false;
    /* Ignore the response if the state has changed since the call, as when authority has ended. */
    if (lease->sent_in_state != lease->state) return;
    switch (lease->state) {
    case TW_STANDBY_LEASE_FOLLOWING:
        handle_key_response(lease, now, status, body, length);
        break;
    case TW_STANDBY_LEASE_GRANTING:
        lease->granted_at = lease->sent_at;
        handle_grant_response(lease, now, status, body, length);
        break;
    case TW_STANDBY_LEASE_WRITING:
        handle_write_response(lease, now, status, body, length);
        break;
    case TW_STANDBY_LEASE_LEADING:
        handle_renewal_response(lease, now, status);
        break;
    }
}
