/* Settings: the platform's file (TOML) and the operators' own (YAML).
 *
 * Invariants:
 *   - what was loaded without an error is complete and in range, and nobody else checks it again;
 *   - settings don't change after they were loaded.
 * A number whose name ends with _s is in seconds, one with _ms in milliseconds, one with _kb or _mb
 * in KiB or MiB. */
#ifndef TW_CONFIG_H
#define TW_CONFIG_H
#include <stddef.h>
#include <stdio.h>

#define TW_NAME_SIZE 64 /* longest name taken from the settings, with its end */

/* Another node, its zone and the address where it can be reached. */
typedef struct {
    char name[TW_NAME_SIZE], zone[TW_NAME_SIZE], addr[TW_NAME_SIZE];
} tw_config_peer;

/* A team: the cores and GPUs that it is guaranteed, and the most that it may use at a time. */
typedef struct {
    char name[TW_NAME_SIZE];
    double cpus, cpus_max, gpus, gpus_max; /* a maximum of 0: no limit */
    double share;                          /* weight in the teams' turns (operators' settings) */
} tw_config_team;

/* An objective for a class of jobs, or for all of them. kind: "wait" (to start within within_s),
 * "finished" (to end within within_s), "deadline" or "guarantee". */
typedef struct {
    char kind[16], cls[TW_NAME_SIZE]; /* cls: the class; "": all */
    double within_s, share, times;
} tw_config_objective;

/* The operators' own settings; every one has a default and a checked range. */
typedef struct {
    double election_ratio; /* leader lease, as a share of the workers' lease_s */
    double hold_ratio;     /* longest time that a leader renews workers' leases without the state
                              service, in lease_s */
    double margin_ratio;   /* safety margin on waits, as a share of lease_s */
    double drift;          /* clock drift allowed for */
    double ema;            /* weight of a new sample in the moving averages */
    double recheck_ratio;  /* time between rechecks of running tasks, in report_s */
    double headroom;       /* scales the spare room that is rented ahead */
    double idle_ratio;     /* an idle machine is returned after this share of its boot time */
    double silent_ratio;   /* a machine that is silent for this share of lease_s is given up */
    double write_share;    /* share of the state service's and the cloud's limits that is used */
} tw_config_tuning;

/* Limits of the state service. */
typedef struct {
    double rps, write_rps; /* requests; puts and deletes, a second */
    double value_kb;       /* largest value, in KiB */
    int txn_ops;           /* puts and deletes in a transaction */
} tw_config_state_limits;

/* All settings. */
typedef struct {
    char host_name[TW_NAME_SIZE], location[TW_NAME_SIZE], api_addr[TW_NAME_SIZE],
        peer_bind[TW_NAME_SIZE];
    char cloud[TW_NAME_SIZE], state[TW_NAME_SIZE];
    tw_config_peer *peers;
    size_t peer_count;
    char (*zones)[TW_NAME_SIZE];
    size_t zone_count;
    tw_config_team *teams;
    size_t team_count;
    tw_config_objective *objectives;
    size_t objective_count;
    double time_bound_ms;
    double report_s, lease_s, cancel_s;
    double gang_wait_s; /* how long a task of a gang waits for the others of its attempt */
    double gang_peer_s; /* time in which it notices that another one is gone */
    /* The limits that this program keeps to: of each the smaller one of the limit that holds now
     * and the one that is announced, since that begins to hold without notice. */
    double state_rps, state_write_rps, state_value_kb;
    int state_txn_ops;
    tw_config_state_limits state_now;  /* as they are when the service is started */
    tw_config_state_limits state_next; /* as they are announced; 0: not announced */
    double cloud_rps, list_lag_s;
    double cpu_share, mem_mb;
    int sockets;
    tw_config_tuning tune;
} tw_config;

/* Why settings were not loaded. */
typedef enum {
    TW_CONFIG_OK = 0,
    TW_CONFIG_UNREADABLE = -1, /* the file can't be read */
    TW_CONFIG_INVALID = -2     /* it is no TOML or YAML, or a setting is missing or out of range */
} tw_config_error;

/* ---- reading ----
 * Unless TW_CONFIG_OK is returned, message holds one line of at most message_size - 1 bytes, which
 * names the file or the setting. */

/* The platform's file. config: overwritten, and freed by the caller with tw_config_free; in case of
 * an error there is nothing to free. */
tw_config_error tw_config_load(tw_config *config, const char *toml_path, char *message,
                               size_t message_size);
/* The same from the text itself. */
tw_config_error tw_config_parse(tw_config *config, const char *toml_text, char *message,
                                size_t message_size);
/* The operators' file, into settings that were loaded. In case of an error some of its settings may
 * have been taken. */
tw_config_error tw_config_load_yaml(tw_config *config, const char *yaml_path, char *message,
                                    size_t message_size);
/* Frees what the settings own, not *config itself. */
void tw_config_free(tw_config *config);

/* The operators' settings as they are without a file. */
void tw_config_set_default_tuning(tw_config_tuning *tuning);

/* ---- describing ---- */

/* Writes a row of a Markdown table for each setting of the platform's file: key, default, range,
 * meaning. */
void tw_config_describe(FILE *out);
/* The same for the operators' file. */
void tw_config_describe_tuning(FILE *out);

#endif
