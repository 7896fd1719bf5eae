/* What the files of the package have in common. Not for other packages.
 *
 * lease.c holds the leader's key, view.c the records and their changes, feed.c sends and takes the
 * feed, check.c asks the machines, table.c makes the table's calls, standby.c joins them. The
 * lease, the view and the log are plain values inside tw_standby, which alone frees what they hold.
 */
#ifndef TW_STANDBY_INT_H
#define TW_STANDBY_INT_H
#include "standby/standby.h"
#include <stdbool.h>
#include <uthash.h>

/* Ratios to the lease. */
#define TW_STANDBY_SUSPECT_RATIO 0.25   /* silence after which the active controller is suspected */
#define TW_STANDBY_POLL_RATIO 0.5       /* between reads of the key */
#define TW_STANDBY_POLL_FAST_RATIO 0.08 /* the same, while the active one is suspected */
#define TW_STANDBY_CHECK_RATIO 0.15     /* a machine that hasn't answered by then is quarantined */
#define TW_STANDBY_BEHIND_DELAY_RATIO                                                              \
    0.25 /* a standby that is behind leaves others so long to go first                             \
          */
#define TW_STANDBY_LAGGING_DELAY_RATIO 0.1 /* one that lacks a few changes */
#define TW_STANDBY_JITTER_RATIO 0.03
#define TW_STANDBY_RETRY_RATIO 0.25       /* between repetitions of a call that was not answered */
#define TW_STANDBY_MARGIN_RATIO 0.1       /* authority ends so much earlier than the lease may */
#define TW_STANDBY_RENEWALS_PER_LEASE 3.0 /* in a lease */

enum { STATUS_OK = 200, STATUS_ABSENT = 404, STATUS_CONFLICT = 409, STATUS_BAD = 400 };
enum { STATUS_TOO_MANY = 429, STATUS_FAILURE = 500 };

/* ---- lease.c: the leader's key ---- */

typedef enum {
    TW_STANDBY_LEASE_FOLLOWING, /* reads the key now and then */
    TW_STANDBY_LEASE_GRANTING,  /* nobody leads: asks for a lease */
    TW_STANDBY_LEASE_WRITING,   /* writes the key, if it is still absent */
    TW_STANDBY_LEASE_LEADING
} tw_standby_lease_state;

typedef struct {
    char name[TW_SHARDS_NAME], control[TW_STANDBY_ADDRESS_SIZE]; /* of this node */
    double ttl_s;
    double poll_s;          /* between two reads of the key */
    double acquire_delay_s; /* from seeing the key absent to asking for a lease */
    double absent_since;
    tw_standby_lease_state state;
    tw_standby_lease_state sent_in_state; /* state at the sending of the call in flight */
    uint64_t lease_id;                    /* the lease */
    uint64_t written_lease_id; /* with which this node wrote, or tried to write, the key last */
    uint64_t token;            /* revision of the key that this node wrote */
    double authority_until;    /* 0: none */
    double sent_at;            /* of the call in flight */
    double granted_at;         /* when the lease was asked for */
    bool call_in_flight;
    double next_at; /* no call before it */
    /* as read last; "" and 0: nobody */
    char leader_name[TW_SHARDS_NAME], leader_control[TW_STANDBY_ADDRESS_SIZE];
    uint64_t leader_token;
} tw_standby_lease;

/* A call to make; path "": none is due. */
typedef struct {
    const char *method;
    char path[TW_STANDBY_PATH_SIZE], body[512];
} tw_standby_lease_call;

void tw_standby_lease_init(tw_standby_lease *lease, const char *name, const char *control,
                           double ttl_s);
/* The call that is due now; answer it with tw_standby_lease_handle_response before the next one. */
tw_standby_lease_call tw_standby_lease_tick(tw_standby_lease *lease, double now);
void tw_standby_lease_handle_response(tw_standby_lease *lease, double now, int status,
                                      const char *body, size_t length);
bool tw_standby_lease_leads(const tw_standby_lease *lease, double now);
/* Gives the lease back, so that another node need not wait for its end; path "": it has none. */
tw_standby_lease_call tw_standby_lease_release(tw_standby_lease *lease);

/* ---- view.c: records and their numbered changes ---- */

typedef struct tw_standby_record {
    char key[TW_WIRE_KEY_SIZE];
    uint64_t mod_revision, hash;
    char *data; /* JSON text */
    UT_hash_handle hh;
} tw_standby_record;

typedef struct {
    tw_standby_record *records;
    uint64_t digest; /* sum of the records' hashes, so that their order does not matter */
    bool loaded;
    uint64_t term, number;   /* of the last change in it */
    uint64_t store_revision; /* revision of the state service that it is of */
} tw_standby_view;

void tw_standby_view_clear(tw_standby_view *view);
/* Entries that are not newer than what is there change nothing. */
void tw_standby_view_apply(tw_standby_view *view, const tw_wire_entry *entries, int count);
/* A list as the state service gives it; the caller frees it. */
char *tw_standby_view_list(tw_standby_view *view);
void tw_standby_view_sort(tw_standby_view *view);

/* A change that followers may still need. */
typedef struct tw_standby_change {
    uint64_t number, store_revision, digest;
    tw_wire_entry *entries;
    int count;
    size_t bytes;
    struct tw_standby_change *prev, *next;
} tw_standby_change;

typedef struct {
    tw_standby_change *changes; /* the oldest first, without gaps */
    int count;
    size_t bytes;
} tw_standby_change_log;

void tw_standby_change_log_add(tw_standby_change_log *log, const tw_standby_view *view,
                               tw_wire_entry *entries, int count);
void tw_standby_change_log_clear(tw_standby_change_log *log);
tw_wire_entry *tw_standby_copy_entries(const tw_wire_entry *entries, int count);

/* ---- the standby ---- */

/* A machine on the way to being used under this term. */
typedef enum {
    TW_STANDBY_CHECK_ASKED,
    TW_STANDBY_CHECK_RENEWING,
    TW_STANDBY_CHECK_STARTING
} tw_standby_check_step;
typedef struct tw_standby_machine_check {
    char name[TW_SHARDS_NAME];
    tw_standby_check_step step;
    uint64_t boot_id, minimum_epoch; /* STARTING */
    bool quarantine_logged;          /* that it is quarantined was logged */
    double next_at;
    UT_hash_handle hh;
} tw_standby_machine_check;

/* A client's request for a machine whose boot id has to be asked for first. */
typedef struct tw_standby_registration {
    tw_shards_request request;
    bool passed;      /* to the table */
    uint64_t boot_id; /* of the machine when it was asked; 0: it did not answer */
    double since;
    struct tw_standby_registration *prev, *next;
} tw_standby_registration;

typedef struct tw_standby_follower {
    char name[TW_SHARDS_NAME];
    uint64_t number;
    double seen_at;
    UT_hash_handle hh;
} tw_standby_follower;

struct tw_standby {
    tw_standby_settings settings;
    tw_shards *table;
    double now;
    tw_standby_lease lease;
    tw_standby_state state;
    bool leads;
    bool began_checking;
    double active_seen_at; /* when the active one was heard last, or first known of */
    uint64_t latest_term;
    uint64_t active_number; /* of its last change */
    double lag_since;       /* 0: there is none */
    char successor[TW_SHARDS_NAME];
    tw_standby_view view, staged; /* staged: a snapshot that is not complete */
    tw_standby_position position;
    tw_standby_change_log log;
    tw_standby_follower *followers;
    tw_standby_machine_check *machines;
    double checking_since;
    tw_standby_registration *registrations;
    uint64_t last_call, lease_call, read_call, write_call, confirm_call, release_call;
    uint64_t read_id, write_id; /* of the table */
    char *write_body;
    int term_reads; /* of the table in this term */
    uint64_t last_request, promotion;
    long differences, snapshots, gaps;
    tw_standby_effect *effects, *last_effect;
};

/* standby.c */
/* Zeroed memory; the program ends where there is none. */
void *tw_standby_alloc(size_t size);
/* Adds an effect to those that tw_standby_next_effect gives out. */
tw_standby_effect *tw_standby_emit(tw_standby *standby, tw_standby_effect_kind kind);
/* Adds a LOG_LINE. */
void tw_standby_log_event(tw_standby *standby, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Makes the steps that are due now. */
void tw_standby_step(tw_standby *standby);
/* Whether the active controller is suspected. */
bool tw_standby_suspects_active(const tw_standby *standby);
/* Whether the view is missing or old, so that other standbys are preferred. */
bool tw_standby_is_behind(const tw_standby *standby);

/* table.c: the table's calls to the state service, and the view that the active one keeps */
/* Adds a CALL and returns its number. body NULL: it has none. */
uint64_t tw_standby_emit_call(tw_standby *standby, const char *method, const char *path,
                              const char *body);
/* Takes the table's effects, until nothing more follows from them. */
void tw_standby_process_table_effects(tw_standby *standby);
/* The answers to the call that reads records, compares the view or writes. */
void tw_standby_handle_read_response(tw_standby *standby, int status, const char *body,
                                     size_t length);
void tw_standby_handle_confirm_response(tw_standby *standby, int status, const char *body,
                                        size_t length);
void tw_standby_handle_write_response(tw_standby *standby, int status, const char *body,
                                      size_t length);

/* check.c */
/* Asks every machine of the table what it has open. */
void tw_standby_check_all(tw_standby *standby);
/* Repeats the commands that were not answered. */
void tw_standby_check_tick(tw_standby *standby);
/* Quarantines the machines that have not answered. */
void tw_standby_quarantine_unanswered(tw_standby *standby);
/* Forgets all machines and registrations, as at the end of a term. */
void tw_standby_check_clear(tw_standby *standby);
/* Number of machines that have not answered under this term. */
int tw_standby_unanswered_count(const tw_standby *standby);
/* Takes a request for a machine whose boot id has to be asked for first. False: it is none. */
bool tw_standby_handle_registration(tw_standby *standby, const tw_shards_request *request);
/* An answer of the table to a registration of ours, or of a client: START follows. Returns whether
 * it was our own, of which no client hears. */
bool tw_standby_handle_registration_result(tw_standby *standby, const tw_shards_effect *answer);

#endif
