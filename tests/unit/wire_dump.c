/* Parses messages and writes every field of what they hold. */
#include "wire_test.h"
#include "wire/wire.h"
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static void dump_job(FILE *out, const tw_wire_job *job) {
    fprintf(out, "id=%s lane=%s crew=%s bundle=%s yard=%s service=%d gang=%d rank=%d pieces=%d ",
            job->id, job->lane, job->crew, job->bundle, job->yard, job->service, job->gang,
            job->rank, job->pieces);
    fprintf(out, "cores=%.17g gpus=%.17g memory_gb=%.17g image_gb=%.17g same_place=%d apart=%d ",
            job->cores, job->gpus, job->memory_gb, job->image_gb, job->same_place, job->apart);
    fprintf(out, "loaner=%d expect_s=%.17g snapshot_s=%.17g flush_s=%.17g due_s=%.17g nracks=%d",
            job->loaner, job->expect_s, job->snapshot_s, job->flush_s, job->due_s, job->nracks);
    for (int i = 0; i < job->nracks; i++) fprintf(out, " rack=%s", job->racks[i]);
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

static void parse_report(FILE *out, const char *text, size_t length) {
    tw_wire_report report;
    if (tw_wire_report_parse(&report, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "tray=%s endpoint=%s rack=%s yard=%s loaner=%d shift=%" PRIu64 " tick=%" PRIu64,
            report.tray, report.endpoint, report.rack, report.yard, report.loaner, report.shift,
            report.tick);
    fprintf(out, " baton=%" PRIu64 " warning_s=%.17g npieces=%d", report.baton, report.warning_s,
            report.npieces);
    for (int i = 0; i < report.npieces; i++) {
        const tw_wire_piece *piece = &report.pieces[i];
        fprintf(out, " [job=%s index=%d stage=%d cause=%d saved=%d attempt=%" PRIu64 "]",
                piece->job, piece->index, piece->stage, piece->cause, piece->saved, piece->attempt);
    }
    tw_wire_report_free(&report);
}

static void parse_flavors(FILE *out, const char *text, size_t length) {
    tw_wire_flavor *flavors;
    int count;
    if (tw_wire_flavors_parse(&flavors, &count, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d", count);
    for (int i = 0; i < count; i++) {
        const tw_wire_flavor *flavor = &flavors[i];
        fprintf(out, " [label=%s cores=%.17g gpus=%.17g memory_gb=%.17g cache_gb=%.17g",
                flavor->label, flavor->cores, flavor->gpus, flavor->memory_gb, flavor->cache_gb);
        fprintf(out, " fetch_gb_s=%.17g hourly=%.17g low_price=%.17g startup_s=%.17g",
                flavor->fetch_gb_s, flavor->hourly, flavor->low_price, flavor->startup_s);
        for (int k = 0; k < flavor->nyards; k++) fprintf(out, " yard=%s", flavor->yards[k]);
        fprintf(out, "]");
    }
    free(flavors);
}

static void parse_trays(FILE *out, const char *text, size_t length) {
    tw_wire_tray *trays;
    int count;
    int more;
    if (tw_wire_trays_parse(&trays, &count, &more, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d more=%d", count, more);
    for (int i = 0; i < count; i++) {
        const tw_wire_tray *tray = &trays[i];
        fprintf(out, " [id=%s endpoint=%s rack=%s yard=%s loaner=%d stage=%d held_s=%.17g]",
                tray->id, tray->endpoint, tray->rack, tray->yard, tray->loaner, tray->stage,
                tray->held_s);
    }
    free(trays);
}

static void parse_names(FILE *out, const char *text, size_t length) {
    char(*names)[TW_WIRE_NAME];
    int count;
    int refused = tw_wire_names_parse(&names, &count, text, length);
    fprintf(out, refused ? "refused" : "count=%d", count);
    for (int i = 0; i < count; i++) fprintf(out, " %s", names[i]);
    free(names);
}

static void parse_failed(FILE *out, const char *text, size_t length) {
    char(*keys)[256];
    int count;
    int refused = tw_wire_failed_parse(&keys, &count, text, length);
    fprintf(out, refused ? "refused" : "count=%d", count);
    for (int i = 0; i < count; i++) fprintf(out, " %s", keys[i]);
    free(keys);
}

static void parse_aborted(FILE *out, const char *text, size_t length) {
    char(*ids)[TW_WIRE_ID];
    int count;
    int refused = tw_wire_aborted_parse(&ids, &count, text, length);
    fprintf(out, refused ? "refused" : "count=%d", count);
    for (int i = 0; i < count; i++) fprintf(out, " %s", ids[i]);
    free(ids);
}

static void dump_entry(FILE *out, const tw_wire_entry *entry) {
    fprintf(out, "[key=%s stamp=%" PRIu64 " hold=%" PRIu64 " data=%s]", entry->key, entry->stamp,
            entry->hold, entry->data ? entry->data : "(none)");
}

static void parse_entry(FILE *out, const char *text, size_t length) {
    tw_wire_entry entry;
    if (tw_wire_entry_parse(&entry, text, length)) {
        fprintf(out, "refused");
        return;
    }
    dump_entry(out, &entry);
    free(entry.data);
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
    fprintf(out, "any=%d ", tw_wire_log_any(text, length));
    if (tw_wire_log_parse(&entries, &count, text, length)) {
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
    int no_ledger = tw_wire_ledger_parse(&ledger, text, length);
    int no_hold = tw_wire_hold_parse(&hold, text, length);
    fprintf(out, "ledger=%d %" PRIu64 " hold=%d %" PRIu64, no_ledger, ledger, no_hold, hold);
}

static void dump_record(FILE *out, const tw_wire_record *record) {
    fprintf(out, "stage=%d pieces=%d ndone=%d submitted=%.17g next_try=%" PRIu64 " done=%s",
            record->stage, record->pieces, record->ndone, record->submitted, record->next_try,
            record->done_ranges ? record->done_ranges : "(none)");
    for (int i = 0; i < record->nlive; i++)
        fprintf(out, " [index=%d attempt=%" PRIu64 " tray=%s]", record->live[i].index,
                record->live[i].attempt, record->live[i].tray);
    if (*record->set)
        fprintf(out, " set=%s slices=%d live=%d", record->set, record->slices, record->set_live);
    fprintf(out, " has_job=%d ", record->has_job);
    if (record->has_job) dump_job(out, &record->job);
}

static void parse_record(FILE *out, const char *text, size_t length) {
    tw_wire_record record;
    fprintf(out, "stage=%d ", tw_wire_record_stage(text, length));
    if (tw_wire_record_parse(&record, "run-000412", text, length)) {
        fprintf(out, "refused");
        return;
    }
    dump_record(out, &record);
    tw_wire_record_free(&record);
}

static void parse_records(FILE *out, const char *text, size_t length) {
    tw_wire_listed *records;
    int count;
    int more;
    if (tw_wire_records_parse(&records, &count, &more, "job/", text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "count=%d more=%d ", count, more);
    for (int i = 0; i < count; i++) {
        fprintf(out, "{%s stamp=%" PRIu64 " readable=%d ", records[i].key, records[i].stamp,
                records[i].readable);
        if (records[i].readable) dump_record(out, &records[i].record);
        fprintf(out, "}");
    }
    tw_wire_records_free(records, count);
}

static void parse_ping(FILE *out, const char *text, size_t length) {
    tw_wire_ping ping;
    if (tw_wire_ping_parse(&ping, text, length)) {
        fprintf(out, "refused");
        return;
    }
    fprintf(out, "name=%s leader=%s token=%" PRIu64 " state_ok=%d leading=%d up_s=%.17g", ping.name,
            ping.leader, ping.token, ping.state_ok, ping.leading, ping.up_s);
    fprintf(out, " deputy_s=%.17g record_format=%d", ping.deputy_s, ping.record_format);
}

#define JOB                                                                                        \
    "{\"id\":\"run-000412\",\"lane\":\"train\",\"crew\":\"vision\",\"shape\":\"batch\","           \
    "\"rank\":\"high\",\"pieces\":16,\"cores\":8.0,\"gpus\":1.5,\"memoryGb\":64.0,"                \
    "\"bundle\":\"img-07\",\"imageGb\":6.2,\"racks\":[\"g8\",\"c16\"],\"yard\":\"a\","             \
    "\"samePlace\":true,\"apart\":false,\"loaner\":true,\"expectS\":240.25,\"snapshotS\":30.0,"    \
    "\"flushS\":4.0,\"dueS\":900.5}"

const message_kind message_kinds[] = {
    {"job", JOB, parse_job, 1},
    {"report",
     "{\"tray\":\"n-000231\",\"endpoint\":\"10.1.0.232:9000\",\"rack\":\"g8\",\"yard\":\"a\","
     "\"loaner\":true,\"shift\":1,\"tick\":88,\"baton\":41,\"warningS\":12.5,\"pieces\":["
     "{\"piece\":\"run-000412/3\",\"try\":2,\"stage\":\"exited\",\"cause\":\"stopped\","
     "\"saved\":true},{\"piece\":\"run-000398/0\",\"try\":1,\"stage\":\"pulling\"}]}",
     parse_report, 0},
    {"flavors",
     "{\"racks\":[{\"label\":\"g8\",\"cores\":96,\"gpus\":8,\"memoryGb\":768,\"cacheGb\":200,"
     "\"fetchGbPerS\":1.5,\"hourly\":12.0,\"lowPrice\":4.5,\"startupS\":45,\"yards\":[\"a\","
     "\"b\"]},{\"label\":\"c\",\"cores\":4,\"memoryGb\":8,\"hourly\":1,\"yards\":[]}]}",
     parse_flavors, 0},
    {"trays",
     "{\"trays\":[{\"id\":\"n-000231\",\"endpoint\":\"10.1.0.232:9000\",\"rack\":\"g8\","
     "\"yard\":\"a\",\"loaner\":true,\"stage\":\"running\",\"heldS\":61.5},{\"id\":\"n-000232\","
     "\"rack\":\"g8\",\"yard\":\"a\",\"loaner\":false,\"stage\":\"failed\"}],\"more\":true}",
     parse_trays, 0},
    {"names", "{\"trays\":[\"n-000231\",\"n-000232\"]}", parse_names, 0},
    {"failed", "{\"failed\":[\"a/b\",\"leader\"],\"ledger\":431}", parse_failed, 0},
    {"aborted", "{\"name\":\"tray-0\",\"aborted\":[\"run-000412\",\"run-000413\"]}", parse_aborted,
     0},
    {"entry", "{\"k\":\"a/b\",\"data\":{\"x\":[1,2.5,\"y\"]},\"stamp\":412,\"hold\":7}",
     parse_entry, 0},
    {"entries",
     "{\"entries\":[{\"k\":\"a/b\",\"data\":{\"x\":1},\"stamp\":412,\"hold\":7},"
     "{\"k\":\"a/c\",\"data\":null,\"stamp\":413}],\"more\":true,\"ledger\":431}",
     parse_entries, 0},
    {"log",
     "{\"ledger\":433,\"log\":[{\"write\":\"c/9\",\"data\":{\"x\":1},\"stamp\":433},"
     "{\"remove\":\"c/d\",\"stamp\":432},{\"write\":\"c/10\",\"stamp\":434}]}",
     parse_log, 0},
    {"numbers", "{\"ledger\":432,\"hold\":7}", parse_numbers, 0},
    {"record",
     "{\"s\":0,\"j\":" JOB ",\"c\":3,\"t\":1700000000.25,\"n\":19,\"f\":\"0-1,7\","
     "\"l\":\"3:17:n-000231,4:18:n-000232\"}",
     parse_record, 0},
    {"record_over", "{\"s\":2,\"p\":16,\"c\":16,\"t\":1700000000.25}", parse_record, 0},
    {"ping",
     "{\"name\":\"tray-0\",\"leader\":\"tray-1\",\"token\":41,\"stateOk\":true,\"leading\":false,"
     "\"upS\":12.25,\"deputyS\":3.5}",
     parse_ping, 0},
    {"ping_of_divided_records",
     "{\"name\":\"tray-0\",\"token\":41,\"stateOk\":true,\"leading\":false,\"recordFormat\":2}",
     parse_ping, 0},
    {"record_divided", "{\"s\":0,\"p\":400,\"c\":3,\"parts\":{\"set\":\"41-7\",\"n\":5,\"l\":397}}",
     parse_record, 0},
    {"records",
     "{\"entries\":[{\"k\":\"job/run-000412\",\"data\":{\"s\":0,\"j\":" JOB ",\"t\":1.5,\"n\":19,"
     "\"l\":\"3:17:n-000231\"},\"stamp\":412},{\"k\":\"job/run-000413\",\"data\":{\"s\":2,\"p\":16,"
     "\"c\":16},\"stamp\":413},{\"k\":\"job/run-000414\",\"data\":{\"s\":0},\"stamp\":414},"
     "{\"k\":\"new/run-000412\",\"data\":{\"s\":2,\"p\":16},\"stamp\":415}],\"more\":true}",
     parse_records, 0},
};
const size_t message_kind_count = sizeof message_kinds / sizeof *message_kinds;
