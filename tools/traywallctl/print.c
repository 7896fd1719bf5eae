#include "print.h"
#include <cjson/cJSON.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

static void print_json(cJSON *object) {
    char *text = cJSON_PrintUnformatted(object);
    if (text) puts(text);
    free(text);
    cJSON_Delete(object);
}

void tw_ctl_print_shards_text(const tw_rpc_answer *answer) {
    printf("revision %lu\n", (unsigned long)answer->revision);
    printf("%-20s %-20s %6s %6s %6s %8s\n", "SHARE", "OWNER", "LEAST", "OPEN", "TAKEN", "DRAINING");
    for (int i = 0; i < answer->shard_count; i++) {
        const tw_shards_shard_view *shard = &answer->shards[i];
        printf("%-20s %-20s %6d %6d %6d %8d%s\n", shard->name, shard->owner, shard->least,
               shard->open, shard->taken, shard->draining, shard->spread ? " spread" : "");
    }
    if (answer->notification_count)
        printf("%-24s %-20s %-20s %-9s %s\n", "MACHINE", "SHARE", "OWNER", "STATE", "EPOCH");
    for (int i = 0; i < answer->notification_count; i++) {
        const tw_shards_notification *machine = &answer->notifications[i];
        printf("%-24s %-20s %-20s %-9s %lu\n", machine->machine, machine->shard, machine->owner,
               tw_shards_state_name(machine->state), (unsigned long)machine->epoch);
    }
}

static cJSON *make_shard_json(const tw_shards_shard_view *shard) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "name", shard->name);
    cJSON_AddStringToObject(object, "owner", shard->owner);
    cJSON_AddNumberToObject(object, "least", shard->least);
    cJSON_AddBoolToObject(object, "spread", shard->spread);
    cJSON_AddNumberToObject(object, "open", shard->open);
    cJSON_AddNumberToObject(object, "taken", shard->taken);
    cJSON_AddNumberToObject(object, "draining", shard->draining);
    return object;
}

static cJSON *make_machine_json(const tw_shards_notification *machine) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "name", machine->machine);
    cJSON_AddStringToObject(object, "share", machine->shard);
    cJSON_AddStringToObject(object, "owner", machine->owner);
    cJSON_AddStringToObject(object, "state", tw_shards_state_name(machine->state));
    cJSON_AddNumberToObject(object, "epoch", (double)machine->epoch);
    return object;
}

void tw_ctl_print_shards_json(const tw_rpc_answer *answer) {
    cJSON *object = cJSON_CreateObject();
    cJSON_AddNumberToObject(object, "revision", (double)answer->revision);
    cJSON *shards = cJSON_AddArrayToObject(object, "shares");
    for (int i = 0; i < answer->shard_count; i++)
        cJSON_AddItemToArray(shards, make_shard_json(&answer->shards[i]));
    cJSON *machines = cJSON_AddArrayToObject(object, "machines");
    for (int i = 0; i < answer->notification_count; i++)
        cJSON_AddItemToArray(machines, make_machine_json(&answer->notifications[i]));
    print_json(object);
}

static void print_change_json(const tw_rpc_answer *answer) {
    const tw_shards_progress *progress = &answer->progress;
    cJSON *object = cJSON_CreateObject();
    cJSON_AddStringToObject(object, "verdict", tw_shards_verdict_name(answer->verdict));
    if (answer->verdict == TW_SHARDS_NOT_LEADER)
        cJSON_AddStringToObject(object, "leader", answer->leader);
    cJSON_AddNumberToObject(object, "revision", (double)answer->revision);
    cJSON_AddBoolToObject(object, "done", progress->done);
    cJSON_AddNumberToObject(object, "wanted", progress->wanted);
    cJSON_AddNumberToObject(object, "draining", progress->draining);
    cJSON_AddNumberToObject(object, "released", progress->released);
    cJSON_AddNumberToObject(object, "taken", progress->taken);
    cJSON_AddNumberToObject(object, "moved", progress->moved);
    cJSON_AddNumberToObject(object, "returned", progress->returned);
    cJSON_AddNumberToObject(object, "lost", progress->lost);
    print_json(object);
}

void tw_ctl_print_change(bool json, const tw_rpc_answer *answer) {
    const tw_shards_progress *progress = &answer->progress;
    if (json) {
        print_change_json(answer);
    } else if (answer->verdict != TW_SHARDS_OK) {
        printf("refused: %s%s%s\n", tw_shards_verdict_name(answer->verdict),
               answer->leader[0] ? ", leader " : "", answer->leader);
    } else if (progress->wanted) {
        printf("%s: %d of %d moved, %d draining, %d released, %d taken, %d returned, %d lost\n",
               progress->done ? "done" : "under way", progress->moved, progress->wanted,
               progress->draining, progress->released, progress->taken, progress->returned,
               progress->lost);
    } else {
        printf("ok, revision %lu\n", (unsigned long)answer->revision);
    }
    fflush(stdout);
}

/* ---- standbys ---- */

void tw_ctl_print_standby_text(const tw_rpc_answer *answer, const char *address) {
    const tw_standby_status *status = &answer->status;
    printf("%-22s %-12s %-10s term %lu, change %lu, lag %lu, revision %lu, digest %016lx, "
           "%d records, %d held back\n",
           address, answer->node, tw_standby_state_name(status->state), (unsigned long)status->term,
           (unsigned long)status->number, (unsigned long)status->lag,
           (unsigned long)status->store_revision, (unsigned long)status->digest, status->records,
           status->quarantined);
    for (int i = 0; i < answer->follower_count; i++)
        printf("    followed by %-12s lag %lu, heard %.1f s ago\n", answer->followers[i].name,
               (unsigned long)answer->followers[i].lag, answer->followers[i].silent_s);
}

void tw_ctl_print_standby_json(const tw_rpc_answer *answer, const char *address) {
    const tw_standby_status *status = &answer->status;
    char digest[TW_SHARDS_NAME];
    cJSON *object = cJSON_CreateObject();
    snprintf(digest, sizeof digest, "%016lx", (unsigned long)status->digest);
    cJSON_AddStringToObject(object, "server", address);
    cJSON_AddStringToObject(object, "node", answer->node);
    cJSON_AddStringToObject(object, "state", tw_standby_state_name(status->state));
    cJSON_AddStringToObject(object, "leader", answer->leader);
    cJSON_AddNumberToObject(object, "term", (double)status->term);
    cJSON_AddNumberToObject(object, "number", (double)status->number);
    cJSON_AddNumberToObject(object, "lag", (double)status->lag);
    cJSON_AddNumberToObject(object, "revision", (double)status->store_revision);
    cJSON_AddStringToObject(object, "digest", digest);
    cJSON_AddNumberToObject(object, "records", status->records);
    cJSON_AddNumberToObject(object, "held_back", status->quarantined);
    cJSON_AddNumberToObject(object, "differences", (double)status->differences);
    cJSON_AddNumberToObject(object, "snapshots", (double)status->snapshots);
    cJSON_AddNumberToObject(object, "gaps", (double)status->gaps);
    cJSON *followers = cJSON_AddArrayToObject(object, "followers");
    for (int i = 0; i < answer->follower_count; i++) {
        cJSON *follower = cJSON_CreateObject();
        cJSON_AddStringToObject(follower, "name", answer->followers[i].name);
        cJSON_AddNumberToObject(follower, "lag", (double)answer->followers[i].lag);
        cJSON_AddItemToArray(followers, follower);
    }
    print_json(object);
}
