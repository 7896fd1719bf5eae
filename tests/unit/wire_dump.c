/* Parses messages and writes all their fields. */
#include "wire_test.h"
#include "wire/wire.h"
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

static void dump_job(FILE *out, const tw_wire_job *job) {
    fprintf(out, "id=%s lane=%s crew=%s bundle=%s yard=%s service=%d gang=%d rank=%d pieces=%d ",
            job->id, job->job_class, job->team, job->image, job->zone, job->service, job->gang,
            job->priority, job->task_count);
    fprintf(out, "cores=%.17g gpus=%.17g memory_gb=%.17g image_gb=%.17g same_place=%d apart=%d ",
            job->cores, job->gpus, job->memory_gb, job->image_gb, job->single_zone, job->spread);
    fprintf(out, "loaner=%d expect_s=%.17g snapshot_s=%.17g flush_s=%.17g due_s=%.17g nracks=%d",
            job->spot, job->expected_run_s, job->checkpoint_s, job->save_s, job->deadline_s,
            job->machine_type_count);
    for (int i = 0; i < job->machine_type_count; i++)
        fprintf(out, " rack=%s", job->machine_types[i]);
}

static void parse_job(FILE *out, const char *text, size_t length) {
    tw_wire_job job;
    const char *why = "";
    if (tw_wire_job_parse(&job, text, length, &why)) {
        fprintf(out, "refused: %s", why);
        return;
    }
    dump_job(out, &job);
    tw_wire_job_free(&job);
}

static void parse_heartbeat(FILE *out, const char *text, size_t length) {
    tw_wire_heartbeat heartbeat;
    if (tw_wire_heartbeat_parse(&heartbeat, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "tray=%s endpoint=%s rack=%s yard=%s loaner=%d shift=%" PRIu64 " tick=%" PRIu64,
            heartbeat.worker, heartbeat.endpoint, heartbeat.machine_type, heartbeat.zone,
            heartbeat.spot, heartbeat.incarnation, heartbeat.sequence);
    fprintf(out, " baton=%" PRIu64 " warning_s=%.17g npieces=%d", heartbeat.fencing_token,
            heartbeat.preemption_notice_s, heartbeat.task_count);
    for (int i = 0; i < heartbeat.task_count; i++) {
        const tw_wire_task *task = &heartbeat.tasks[i];
        fprintf(out, " [job=%s index=%d stage=%d cause=%d saved=%d attempt=%" PRIu64 "]", task->job,
                task->index, task->state, task->cause, task->saved, task->attempt);
    }
    tw_wire_heartbeat_free(&heartbeat);
}

static void parse_machine_types(FILE *out, const char *text, size_t length) {
    tw_wire_machine_type *types;
    int count;
    if (tw_wire_machine_types_parse(&types, &count, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d", count);
    for (int i = 0; i < count; i++) {
        const tw_wire_machine_type *type = &types[i];
        fprintf(out, " [label=%s cores=%.17g gpus=%.17g memory_gb=%.17g cache_gb=%.17g", type->name,
                type->cores, type->gpus, type->memory_gb, type->cache_gb);
        fprintf(out, " fetch_gb_s=%.17g hourly=%.17g low_price=%.17g startup_s=%.17g",
                type->fetch_gb_s, type->on_demand_price, type->spot_price, type->startup_s);
        for (int k = 0; k < type->zone_count; k++) fprintf(out, " yard=%s", type->zones[k]);
        fprintf(out, "]");
    }
    free(types);
}

static void parse_rented_machines(FILE *out, const char *text, size_t length) {
    tw_wire_rented_machine *machines;
    int count;
    int more;
    if (tw_wire_rented_machines_parse(&machines, &count, &more, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d more=%d", count, more);
    for (int i = 0; i < count; i++) {
        const tw_wire_rented_machine *machine = &machines[i];
        fprintf(out, " [id=%s endpoint=%s rack=%s yard=%s loaner=%d stage=%d held_s=%.17g]",
                machine->id, machine->endpoint, machine->machine_type, machine->zone, machine->spot,
                machine->state, machine->rented_s);
    }
    free(machines);
}

static void parse_names(FILE *out, const char *text, size_t length) {
    char(*names)[TW_WIRE_NAME_SIZE];
    int count;
    int refused = tw_wire_machine_names_parse(&names, &count, text, length);
    fprintf(out, refused ? "refused" : "count=%d", count);
    for (int i = 0; i < count; i++) fprintf(out, " %s", names[i]);
    free(names);
}

static void parse_failed(FILE *out, const char *text, size_t length) {
    char(*keys)[256];
    int count;
    int refused = tw_wire_failed_compares_parse(&keys, &count, text, length);
    fprintf(out, refused ? "refused" : "count=%d", count);
    for (int i = 0; i < count; i++) fprintf(out, " %s", keys[i]);
    free(keys);
}

static void parse_cancelled(FILE *out, const char *text, size_t length) {
    char(*ids)[TW_WIRE_ID_SIZE];
    int count;
    int refused = tw_wire_cancelled_jobs_parse(&ids, &count, text, length);
    fprintf(out, refused ? "refused" : "count=%d", count);
    for (int i = 0; i < count; i++) fprintf(out, " %s", ids[i]);
    free(ids);
}

static void dump_entry(FILE *out, const tw_wire_entry *entry) {
    fprintf(out, "[key=%s stamp=%" PRIu64 " hold=%" PRIu64 " data=%s]", entry->key,
            entry->mod_revision, entry->lease_id, entry->value ? entry->value : "(none)");
}

static void parse_entry(FILE *out, const char *text, size_t length) {
    tw_wire_entry entry;
    if (tw_wire_entry_parse(&entry, text, length)) {
        fprintf(out, "refused");
        return;
    }
    dump_entry(out, &entry);
    free(entry.value);
}

static void parse_entries(FILE *out, const char *text, size_t length) {
    tw_wire_entry *entries;
    int count;
    int more;
    if (tw_wire_entries_parse(&entries, &count, &more, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d more=%d ", count, more);
    for (int i = 0; i < count; i++) dump_entry(out, &entries[i]);
    tw_wire_entries_free(entries, count);
}

static void parse_log(FILE *out, const char *text, size_t length) {
    tw_wire_entry *entries;
    int count;
    fprintf(out, "any=%d ", tw_wire_watch_has_changes(text, length));
    if (tw_wire_watch_keys_parse(&entries, &count, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d ", count);
    for (int i = 0; i < count; i++) dump_entry(out, &entries[i]);
    tw_wire_entries_free(entries, count);
}

static void parse_numbers(FILE *out, const char *text, size_t length) {
    uint64_t ledger = 0;
    uint64_t hold = 0;
    int no_ledger = tw_wire_revision_parse(&ledger, text, length);
    int no_hold = tw_wire_lease_id_parse(&hold, text, length);
    fprintf(out, "ledger=%d %" PRIu64 " hold=%d %" PRIu64, no_ledger, ledger, no_hold, hold);
}

static void dump_record(FILE *out, const tw_wire_record *record) {
    fprintf(out, "stage=%d pieces=%d ndone=%d submitted=%.17g next_try=%" PRIu64 " done=%s",
            record->state, record->task_count, record->done_count, record->submitted_at,
            record->next_attempt, record->done_ranges ? record->done_ranges : "(none)");
    for (int i = 0; i < record->assignment_count; i++)
        fprintf(out, " [index=%d attempt=%" PRIu64 " tray=%s]", record->assignments[i].index,
                record->assignments[i].attempt, record->assignments[i].worker);
    if (*record->chunk_set)
        fprintf(out, " set=%s slices=%d live=%d", record->chunk_set, record->chunk_count,
                record->running_count);
    fprintf(out, " has_job=%d ", record->has_job);
    if (record->has_job) dump_job(out, &record->job);
}

static void parse_record(FILE *out, const char *text, size_t length) {
    tw_wire_record record;
    fprintf(out, "stage=%d ", tw_wire_record_state(text, length));
    if (tw_wire_record_parse(&record, "run-000412", text, length)) {
        fprintf(out, "refused");
        return;
    }
    dump_record(out, &record);
    tw_wire_record_free(&record);
}

static void parse_records(FILE *out, const char *text, size_t length) {
    tw_wire_listed_record *records;
    int count;
    int more;
    if (tw_wire_records_parse(&records, &count, &more, "job/", text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d more=%d ", count, more);
    for (int i = 0; i < count; i++) {
        fprintf(out, "{%s stamp=%" PRIu64 " readable=%d ", records[i].key, records[i].mod_revision,
                records[i].readable);
        if (records[i].readable) dump_record(out, &records[i].record);
        fprintf(out, "}");
    }
    tw_wire_records_free(records, count);
}

static void parse_peer_heartbeat(FILE *out, const char *text, size_t length) {
    tw_wire_peer_heartbeat heartbeat;
    if (tw_wire_peer_heartbeat_parse(&heartbeat, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "name=%s leader=%s token=%" PRIu64 " state_ok=%d leading=%d up_s=%.17g",
            heartbeat.name, heartbeat.leader, heartbeat.highest_token, heartbeat.store_reachable,
            heartbeat.is_leader, heartbeat.uptime_s);
    fprintf(out, " deputy_s=%.17g record_format=%d", heartbeat.since_delegate_answer_s,
            heartbeat.record_format);
}

#define JOB                                                                                        \
    "{\"id\":\"run-000412\",\"lane\":\"train\",\"crew\":\"vision\",\"shape\":\"batch\","           \
    "\"rank\":\"high\",\"pieces\":16,\"cores\":8.0,\"gpus\":1.5,\"memoryGb\":64.0,"                \
    "\"bundle\":\"img-07\",\"imageGb\":6.2,\"racks\":[\"g8\",\"c16\"],\"yard\":\"a\","             \
    "\"samePlace\":true,\"apart\":false,\"loaner\":true,\"expectS\":240.25,\"snapshotS\":30.0,"    \
    "\"flushS\":4.0,\"dueS\":900.5}"

const tw_test_message_kind tw_test_message_kinds[] = {
    {"job", JOB, parse_job, true},
    {"report",
     "{\"tray\":\"n-000231\",\"endpoint\":\"10.1.0.232:9000\",\"rack\":\"g8\",\"yard\":\"a\","
     "\"loaner\":true,\"shift\":1,\"tick\":88,\"baton\":41,\"warningS\":12.5,\"pieces\":["
     "{\"piece\":\"run-000412/3\",\"try\":2,\"stage\":\"exited\",\"cause\":\"stopped\","
     "\"saved\":true},{\"piece\":\"run-000398/0\",\"try\":1,\"stage\":\"pulling\"}]}",
     parse_heartbeat, false},
    {"flavors",
     "{\"racks\":[{\"label\":\"g8\",\"cores\":96,\"gpus\":8,\"memoryGb\":768,\"cacheGb\":200,"
     "\"fetchGbPerS\":1.5,\"hourly\":12.0,\"lowPrice\":4.5,\"startupS\":45,\"yards\":[\"a\","
     "\"b\"]},{\"label\":\"c\",\"cores\":4,\"memoryGb\":8,\"hourly\":1,\"yards\":[]}]}",
     parse_machine_types, false},
    {"trays",
     "{\"trays\":[{\"id\":\"n-000231\",\"endpoint\":\"10.1.0.232:9000\",\"rack\":\"g8\","
     "\"yard\":\"a\",\"loaner\":true,\"stage\":\"running\",\"heldS\":61.5},{\"id\":\"n-000232\","
     "\"rack\":\"g8\",\"yard\":\"a\",\"loaner\":false,\"stage\":\"failed\"}],\"more\":true}",
     parse_rented_machines, false},
    {"names", "{\"trays\":[\"n-000231\",\"n-000232\"]}", parse_names, false},
    {"failed", "{\"failed\":[\"a/b\",\"leader\"],\"ledger\":431}", parse_failed, false},
    {"aborted", "{\"name\":\"tray-0\",\"aborted\":[\"run-000412\",\"run-000413\"]}",
     parse_cancelled, false},
    {"entry", "{\"k\":\"a/b\",\"data\":{\"x\":[1,2.5,\"y\"]},\"stamp\":412,\"hold\":7}",
     parse_entry, false},
    {"entries",
     "{\"entries\":[{\"k\":\"a/b\",\"data\":{\"x\":1},\"stamp\":412,\"hold\":7},"
     "{\"k\":\"a/c\",\"data\":null,\"stamp\":413}],\"more\":true,\"ledger\":431}",
     parse_entries, false},
    {"log",
     "{\"ledger\":433,\"log\":[{\"write\":\"c/9\",\"data\":{\"x\":1},\"stamp\":433},"
     "{\"remove\":\"c/d\",\"stamp\":432},{\"write\":\"c/10\",\"stamp\":434}]}",
     parse_log, false},
    {"numbers", "{\"ledger\":432,\"hold\":7}", parse_numbers, false},
    {"record",
     "{\"s\":0,\"j\":" JOB ",\"c\":3,\"t\":1700000000.25,\"n\":19,\"f\":\"0-1,7\","
     "\"l\":\"3:17:n-000231,4:18:n-000232\"}",
     parse_record, false},
    {"record_over", "{\"s\":2,\"p\":16,\"c\":16,\"t\":1700000000.25}", parse_record, false},
    {"ping",
     "{\"name\":\"tray-0\",\"leader\":\"tray-1\",\"token\":41,\"stateOk\":true,\"leading\":false,"
     "\"upS\":12.25,\"deputyS\":3.5}",
     parse_peer_heartbeat, false},
    {"ping_of_divided_records",
     "{\"name\":\"tray-0\",\"token\":41,\"stateOk\":true,\"leading\":false,\"recordFormat\":2}",
     parse_peer_heartbeat, false},
    {"record_divided", "{\"s\":0,\"p\":400,\"c\":3,\"parts\":{\"set\":\"41-7\",\"n\":5,\"l\":397}}",
     parse_record, false},
    {"records",
     "{\"entries\":[{\"k\":\"job/run-000412\",\"data\":{\"s\":0,\"j\":" JOB ",\"t\":1.5,\"n\":19,"
     "\"l\":\"3:17:n-000231\"},\"stamp\":412},{\"k\":\"job/run-000413\",\"data\":{\"s\":2,\"p\":16,"
     "\"c\":16},\"stamp\":413},{\"k\":\"job/run-000414\",\"data\":{\"s\":0},\"stamp\":414},"
     "{\"k\":\"new/run-000412\",\"data\":{\"s\":2,\"p\":16},\"stamp\":415}],\"more\":true}",
     parse_records, false},
};
const size_t tw_test_message_kind_count =
    sizeof tw_test_message_kinds / sizeof *tw_test_message_kinds;
