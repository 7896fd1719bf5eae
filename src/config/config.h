/* Settings: the platform's settings file (TOML) and the operators' settings file (YAML).
 *
 * Invariants:
 *   - settings that were loaded without an error are complete and in range; other packages do not
 *     check them again;
 *   - settings do not change after they were loaded.
 * Units are part of the names: _s is seconds, _ms milliseconds, _kb KiB, _mb MiB. */
#ifndef TW_CONFIG_H
#define TW_CONFIG_H
#include <stddef.h>
#include <stdio.h>

/* Buffer size of a name in the settings, including the terminating null. */
#define TW_NAME_SIZE 64

/* Another node, its zone and the address at which other nodes reach it. */
typedef struct {
    char name[TW_NAME_SIZE], zone[TW_NAME_SIZE], addr[TW_NAME_SIZE];
} tw_config_peer;

/* A team, its guarantees and its limits. */
typedef struct {
    char name[TW_NAME_SIZE];
    double cpus;     /* guaranteed cores */
    double cpus_max; /* maximum number of cores in use; 0: no limit */
    double gpus;     /* guaranteed GPUs */
    double gpus_max; /* maximum number of GPUs in use; 0: no limit */
    double share;    /* weight in fair sharing between teams (operators' setting `shares`) */
} tw_config_team;

/* A service level objective for a job class, or for all jobs. */
typedef struct {
    char kind[16];          /* wait, finished, deadline or guarantee */
    char cls[TW_NAME_SIZE]; /* job class; "": all jobs */
    double within_s;        /* wait: time to start; finished: time to end */
    double share;           /* share of the jobs that should meet the objective */
    double times;           /* factor by which the deadline is multiplied */
} tw_config_objective;

/* The operators' settings. Each has a default and a range that is checked. */
typedef struct {
    double election_ratio; /* duration of the leader lease, as a share of the workers' lease_s */
    double hold_ratio;     /* maximum duration of renewal without authority, in lease_s */
    double margin_ratio;   /* safety margin added to the expiry of leases, as a share of lease_s */
    double drift;          /* maximum relative clock drift */
    double ema;            /* weight of a new sample in exponential moving averages */
    double recheck_ratio;  /* interval between rechecks of running tasks, in report_s */
    double headroom;       /* factor that scales the headroom rented ahead of arrivals */
    double idle_ratio;     /* idle time before a machine is returned, as a share of its boot time */
    double silent_ratio; /* time without a heartbeat after which a machine is considered failed and
                            is returned, as a share of lease_s */
    double write_share;  /* share of the state service's and the cloud's limits that is used */
} tw_config_tuning;

/* Limits of the state service. */
typedef struct {
    double rps;       /* requests per second */
    double write_rps; /* puts and deletes per second */
    double value_kb;  /* maximum size of a value, in KiB */
    int txn_ops;      /* maximum number of puts and deletes in a transaction */
} tw_config_state_limits;

/* All settings of a node: those of the platform's file and, in tune, the operators' settings. */
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
    double time_bound_ms; /* maximum error of the wall clock */
    double report_s;      /* interval between a worker's heartbeats */
    double lease_s;       /* duration of a worker's lease */
    double cancel_s;      /* time within which the tasks of a cancelled job must end */
    double gang_wait_s; /* time for which a gang's task waits for the other tasks of its attempt */
    double gang_peer_s; /* time within which a gang's task notices that another one terminated */
    /* The limits that the program observes: the smaller one of the current and the announced limit,
     * since an announced limit takes effect without further notice. */
    double state_rps, state_write_rps, state_value_kb;
    int state_txn_ops;
    tw_config_state_limits state_now;  /* limits in effect when the state service starts */
    tw_config_state_limits state_next; /* announced limits; 0: none announced */
    double cloud_rps;                  /* limit of requests to the cloud, per second */
    double list_lag_s;                 /* maximum age of the cloud's list of rented machines */
    double cpu_share, mem_mb;          /* limits of the process: share of a core, memory */
    int sockets;                       /* limit of the process: open sockets */
    tw_config_tuning tune;
} tw_config;

/* Errors of loading settings. */
typedef enum {
    TW_CONFIG_OK = 0,
    TW_CONFIG_UNREADABLE = -1, /* the file can't be read */
    TW_CONFIG_INVALID = -2     /* invalid TOML or YAML, or a setting is missing or invalid */
} tw_config_error;

/* ---- loading settings ----
 * On an error, message holds one line of at most message_size - 1 bytes, which names the file or
 * the setting at fault. */

/* Loads the platform's settings file into *config, which is overwritten. The caller frees it with
 * tw_config_free; after an error there is nothing to free. */
tw_config_error tw_config_load(tw_config *config, const char *toml_path, char *message,
                               size_t message_size);
/* Parses the text of the platform's settings file; otherwise as tw_config_load. */
tw_config_error tw_config_parse(tw_config *config, const char *toml_text, char *message,
                                size_t message_size);
/* Loads the operators' settings file into *config, which tw_config_load or tw_config_parse has
 * filled. After an error, *config may contain some of the file's settings. */
tw_config_error tw_config_load_yaml(tw_config *config, const char *yaml_path, char *message,
                                    size_t message_size);
/* Frees the memory that the settings own, but not *config itself. */
void tw_config_free(tw_config *config);

/* Sets the operators' settings to their defaults, which apply if there is no operators' file. */
void tw_config_set_default_tuning(tw_config_tuning *tuning);

/* ---- describing settings ---- */

/* Writes a Markdown table row for each setting of the platform's file: key, default, range,
 * meaning. */
void tw_config_describe(FILE *out);
/* Writes a Markdown table row for each operators' setting, with the same columns. */
void tw_config_describe_tuning(FILE *out);

#endif
