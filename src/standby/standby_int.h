/* Private declarations of the package; other packages include standby.h only.
 *
 * lease.c acquires and renews the lease of the leader key, view.c stores the records and their
 * changes, feed.c sends and receives the feed, check.c checks the machines, table.c makes the
 * table's calls to the state service, and standby.c holds the controller's states. The lease, the
 * view and the change log are plain values inside tw_standby, which alone frees what they own. */
#ifndef TW_STANDBY_INT_H
#define TW_STANDBY_INT_H
#include "standby/standby.h"
#include <stdbool.h>
#include <uthash.h>

/* Intervals as fractions of lease_s. */
/* Silence after which the active controller is suspected. */
#define TW_STANDBY_SUSPECT_RATIO 0.25
/* Interval between reads of the leader key. */
#define TW_STANDBY_POLL_RATIO 0.5
/* Interval between reads of the leader key while the active controller is suspected. */
#define TW_STANDBY_POLL_FAST_RATIO 0.08
/* Time limit for answers to the check; a machine that has not answered by then is quarantined. */
#define TW_STANDBY_CHECK_RATIO 0.15
/* Delay before a standby in state BEHIND asks for the lease, so that others can take over first. */
#define TW_STANDBY_BEHIND_DELAY_RATIO 0.25
/* Delay before a standby that lacks a few changes asks for the lease. */
#define TW_STANDBY_LAGGING_DELAY_RATIO 0.1
#define TW_STANDBY_JITTER_RATIO 0.03
/* Interval between repetitions of an unanswered command to a machine. */
#define TW_STANDBY_RETRY_RATIO 0.25
/* Margin by which authority ends before the state service can let the lease expire. */
#define TW_STANDBY_MARGIN_RATIO 0.1
#define TW_STANDBY_RENEWALS_PER_LEASE 3.0

enum { STATUS_OK = 200, STATUS_ABSENT = 404, STATUS_CONFLICT = 409, STATUS_BAD = 400 };
enum { STATUS_TOO_MANY = 429, STATUS_FAILURE = 500 };

/* ---- lease.c: the lease of the leader key ---- */

typedef enum {
    TW_STANDBY_LEASE_FOLLOWING, /* reads the key periodically */
    TW_STANDBY_LEASE_GRANTING,  /* the key is absent: asks for a lease */
    TW_STANDBY_LEASE_WRITING,   /* writes the key with the lease, on condition that it is absent */
    TW_STANDBY_LEASE_LEADING
} tw_standby_lease_state;

typedef struct {
    char name[TW_SHARDS_NAME], control[TW_STANDBY_ADDRESS_SIZE]; /* of this node */
    double ttl_s;
    double poll_s;          /* interval between reads of the key */
    double acquire_delay_s; /* delay from finding the key absent to asking for a lease */
    double absent_since;
    tw_standby_lease_state state;
    tw_standby_lease_state sent_in_state; /* state in which the call in flight was sent */
    uint64_t lease_id;                    /* 0 if this node has no lease */
    uint64_t written_lease_id; /* lease with which this node last wrote or tried to write the key */
    uint64_t token;            /* revision of the key that this node wrote: its term */
    double authority_until;    /* 0 without authority */
    double sent_at;            /* when the call in flight was sent */
    double granted_at;         /* when the request for the lease was sent */
    bool call_in_flight;
    double next_at; /* no call is sent before this time */
    /* Holder of the key when it was last read; "" and 0 if the key was absent. */
    char leader_name[TW_SHARDS_NAME], leader_control[TW_STANDBY_ADDRESS_SIZE];
    uint64_t leader_token;
} tw_standby_lease;

/* A call to the state service; path is "" if no call is due. */
typedef struct {
    const char *method;
    char path[TW_STANDBY_PATH_SIZE], body[512];
} tw_standby_lease_call;

void tw_standby_lease_init(tw_standby_lease *lease, const char *name, const char *control,
                           double ttl_s);
/* Returns the call that is due now and ends authority that has expired. No other call is due until
 * tw_standby_lease_handle_response has been given the response. */
tw_standby_lease_call tw_standby_lease_tick(tw_standby_lease *lease, double now);
void tw_standby_lease_handle_response(tw_standby_lease *lease, double now, int status,
                                      const char *body, size_t length);
bool tw_standby_lease_leads(const tw_standby_lease *lease, double now);
/* Returns the call that releases the lease, so that another node need not wait for it to expire;
 * the path is "" if this node has no lease. Authority ends with it. */
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
    uint64_t digest;         /* sum of the records' hashes, which does not depend on their order */
    bool loaded;             /* whether the view is complete */
    uint64_t term, number;   /* of the last change applied */
    uint64_t store_revision; /* revision of the state service that the view reflects */
} tw_standby_view;

void tw_standby_view_clear(tw_standby_view *view);
/* Applies the entries to the view, except those that are not newer than the record there. */
void tw_standby_view_apply(tw_standby_view *view, const tw_wire_entry *entries, int count);
/* Returns the records as JSON in the form of the state service's list response. The caller frees
 * the text. */
char *tw_standby_view_list(tw_standby_view *view);
/* Sorts the records by key. */
void tw_standby_view_sort(tw_standby_view *view);

/* A change that is kept for followers. */
typedef struct tw_standby_change {
    uint64_t number, store_revision, digest;
    tw_wire_entry *entries;
    int count;
    size_t bytes;
    struct tw_standby_change *prev, *next;
} tw_standby_change;

typedef struct {
    tw_standby_change *changes; /* numbered without gaps, the oldest first */
    int count;
    size_t bytes;
} tw_standby_change_log;

/* Appends the change that brought the view to its present number, and removes the oldest changes
 * over the limits. The log takes ownership of the entries. */
void tw_standby_change_log_add(tw_standby_change_log *log, const tw_standby_view *view,
                               tw_wire_entry *entries, int count);
void tw_standby_change_log_clear(tw_standby_change_log *log);
/* Returns a deep copy of the entries. The caller frees it with tw_wire_entries_free. */
tw_wire_entry *tw_standby_copy_entries(const tw_wire_entry *entries, int count);

/* ---- the standby ---- */

/* Steps of a machine's check. */
typedef enum {
    TW_STANDBY_CHECK_ASKED,    /* CHECK was sent */
    TW_STANDBY_CHECK_RENEWING, /* the table is asked for the machine's next epoch */
    TW_STANDBY_CHECK_STARTING  /* START was sent */
} tw_standby_check_step;
/* A machine that is not yet confirmed in this term. */
typedef struct tw_standby_machine_check {
    char name[TW_SHARDS_NAME];
    tw_standby_check_step step;
    uint64_t boot_id, minimum_epoch; /* contents of the START that was sent */
    bool quarantine_logged;
    double next_at; /* when the command is repeated */
    UT_hash_handle hh;
} tw_standby_machine_check;

/* A request to add or renew a machine, which must be asked for its boot id first. */
typedef struct tw_standby_registration {
    tw_shards_request request;
    bool passed;      /* whether the request was passed to the table */
    uint64_t boot_id; /* boot id of the machine when it was asked; 0 if it did not answer */
    double since;     /* time of the request */
    struct tw_standby_registration *prev, *next;
} tw_standby_registration;

typedef struct tw_standby_follower {
    char name[TW_SHARDS_NAME];
    uint64_t number; /* number of the last change that the follower has */
    double seen_at;  /* time of its last report */
    UT_hash_handle hh;
} tw_standby_follower;

struct tw_standby {
    tw_standby_settings settings;
    tw_shards *table;
    double now;
    tw_standby_lease lease;
    tw_standby_state state;
    bool leads;
    bool began_checking;    /* whether the machines were asked for their epochs in this term */
    double active_seen_at;  /* when the active controller's last message arrived, or when its key
                               was first read */
    uint64_t latest_term;   /* newest term known */
    uint64_t active_number; /* number of the active controller's last change */
    double lag_since;       /* since when this node lacks changes; 0 if it lacks none */
    char successor[TW_SHARDS_NAME]; /* node that is to take over; "" if any node may */
    tw_standby_view view, staged;   /* staged: a snapshot that is still incomplete */
    tw_standby_position position;
    tw_standby_change_log log;
    tw_standby_follower *followers;
    tw_standby_machine_check *machines;
    double checking_since;
    tw_standby_registration *registrations;
    /* Ids of the last call of any kind, and of the last calls of each kind. */
    uint64_t last_call, lease_call, read_call, write_call, confirm_call, release_call;
    uint64_t read_id, write_id; /* ids of the table's read and write that the calls carry out */
    char *write_body;           /* the transaction in flight */
    int term_reads;             /* number of the table's reads in this term */
    uint64_t last_request;      /* number of this node's last own request to the table */
    uint64_t promotion; /* id of the promotion that awaits the release; 0 if there is none */
    long differences, snapshots, gaps;
    tw_standby_effect *effects, *last_effect;
};

/* standby.c */
/* Returns zeroed memory. The program aborts if none can be allocated. */
void *tw_standby_alloc(size_t size);
/* Appends an effect to those that tw_standby_next_effect returns. The effect belongs to the
 * standby. */
tw_standby_effect *tw_standby_emit(tw_standby *standby, tw_standby_effect_kind kind);
/* Emits a LOG_LINE effect with the formatted line. */
void tw_standby_log_event(tw_standby *standby, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Performs the transitions that are due at the present time: lease, term, checking and state. */
void tw_standby_step(tw_standby *standby);
/* Returns whether the active controller is suspected. */
bool tw_standby_suspects_active(const tw_standby *standby);
/* Returns whether the view is missing or outdated, so that other standbys take over first. */
bool tw_standby_is_behind(const tw_standby *standby);

/* table.c: the table's calls to the state service, and the active controller's view */
/* Emits a CALL and returns its id. body is NULL for a call without a body. */
uint64_t tw_standby_emit_call(tw_standby *standby, const char *method, const char *path,
                              const char *body);
/* Handles the table's effects until there are no more. */
void tw_standby_process_table_effects(tw_standby *standby);
/* Handle the responses to the calls that read records, confirm the view and write. */
void tw_standby_handle_read_response(tw_standby *standby, int status, const char *body,
                                     size_t length);
void tw_standby_handle_confirm_response(tw_standby *standby, int status, const char *body,
                                        size_t length);
void tw_standby_handle_write_response(tw_standby *standby, int status, const char *body,
                                      size_t length);

/* check.c */
/* Asks every machine of the table for its open epoch. */
void tw_standby_check_all(tw_standby *standby);
/* Repeats unanswered commands to machines, and passes overdue registrations to the table. */
void tw_standby_check_tick(tw_standby *standby);
/* Logs the quarantine of the machines that have not answered. */
void tw_standby_log_unanswered(tw_standby *standby);
/* Removes all machine checks and registrations, as at the end of a term. Registrations that were
 * not passed to the table yet are passed to it, which refuses them. */
void tw_standby_check_clear(tw_standby *standby);
/* Returns the number of machines that have not answered in this term. */
int tw_standby_unanswered_count(const tw_standby *standby);
/* Handles a request to add or renew a machine, which must be asked for its boot id first. Returns
 * false, and does nothing, if the request is of another kind or this node does not lead. */
bool tw_standby_handle_registration(tw_standby *standby, const tw_shards_request *request);
/* Handles the table's answer to a registration. Starts or checks the machine if the registration
 * was accepted. Returns whether the registration was this node's own, so that no client awaits the
 * answer. */
bool tw_standby_handle_registration_result(tw_standby *standby, const tw_shards_effect *answer);

#endif
