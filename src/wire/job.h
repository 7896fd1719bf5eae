/* Reads and writes a job specification within a larger JSON message. Private to this package. */
#ifndef TW_WIRE_JOB_H
#define TW_WIRE_JOB_H
#include "wire/wire.h"
#include <cjson/cJSON.h>

/* Reads a job specification into a zeroed job. On an error, sets *reason to a constant string that
 * describes the problem. The caller frees the job with tw_wire_job_free, also after an error. */
tw_wire_error tw_wire_job_read(tw_wire_job *job, const cJSON *object, const char **reason);
/* Returns the job specification as a JSON object, which the caller deletes. */
cJSON *tw_wire_job_write(const tw_wire_job *job);

#endif
