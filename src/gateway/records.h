/* A gateway's records, in the site's state service under g/, and in memory.
 *
 *   g/lead            the gateway that acts, tied to its lease; every write is
 * conditional on it g/i               the state's incarnation when it was last looked at
 *   g/j/REF           a job of this home: description, hand-over, when it came
 *   g/f/HOME/REF      another site's job that is, or was, here
 *   g/e/SITE          a peer that an operator has evicted
 *
 * A record is changed by one thread at a time: taken (busy), a copy changed by a
 * transition of handover.h, written, and only then put in the place of the old. Locking:
 * records->lock guards all below it, and is never held while something is written. */
#ifndef LMN_GATEWAY_RECORDS_H
#define LMN_GATEWAY_RECORDS_H

#include "http/client.h"
#include "job/job_spec.h"
#include "gateway/handover.h"

#include <pthread.h>

/* What is known of a job's course, for display. */
struct lmn_progress {
    uint32_t done, running;
    struct timespec known_at; /* as of when */
};

struct lmn_gateway_job {
    char id[LMN_JOB_ID_SIZE];
    struct lmn_origin_record origin;
    struct lmn_job_spec spec;
    char digest[65];          /* of what its tasks run; empty: none */
    double accepted_at_s;     /* time of day of its acceptance */
    double execution_lease_s; /* 0: none */
    uint64_t revision;
    bool is_taken, is_submitted_locally; /* the own controllers have it */
    struct lmn_progress progress;
    struct timespec offered_at, polled_at;
};

struct lmn_remote_job {
    char origin_site[LMN_NAME_SIZE], id[LMN_JOB_ID_SIZE],
        local_id[LMN_JOB_ID_SIZE]; /* its name at the own controllers */
    char *key;                     /* HOME/REF */
    struct lmn_execution_record execution;
    struct lmn_job_spec spec;
    char digest[65];
    double execution_lease_s;
    uint64_t revision;
    bool is_taken, is_submitted_locally;
    bool is_being_stopped; /* its leash is over, or its home calls it back: it is being
                              stopped */
    struct lmn_progress progress;
    struct timespec polled_at;
};

struct lmn_gateway_records {
    char state_address[LMN_ADDRESS_SIZE];
    int max_txn_operations;
    uint64_t lead_revision, lease, incarnation;
    pthread_mutex_t lock;           /* of what follows */
    pthread_cond_t record_released; /* a record is not busy any more */
    GHashTable *jobs;               /* ref -> lmn_gateway_job */
    GHashTable *remote_jobs;        /* HOME/REF -> lmn_remote_job */
    /* Of those, what there may still be something to do for: jobs without an outcome,
     * guests that run here or whose outcome their home has not heard. Everything that
     * goes round looks at these alone: the rest grows for ever. */
    GHashTable *open_jobs, *open_remote_jobs;
    GHashTable *evicted; /* sites, as g/e/ has them */
    uint64_t writes, conflicts;
};

/* Waits until this gateway leads the site, then reads all records. Its lease is kept by a
 * thread, which ends the process if it is lost. *restored: the state was restored from a
 * backup since. */
void lmn_gateway_records_open(struct lmn_gateway_records *b, const char *state,
                              const char *gateway, int txn_ops, bool *restored);
/* Takes the record: it is this thread's until it is put back. NULL: there is none. The
 * lock is held, and let go while it waits. */
struct lmn_gateway_job *lmn_gateway_records_take_job(struct lmn_gateway_records *b,
                                                     const char *ref);
struct lmn_remote_job *lmn_gateway_records_take_remote_job(struct lmn_gateway_records *b,
                                                           const char *home,
                                                           const char *ref);
/* Makes a record that is not written yet, taken. The lock is held. NULL: there is one,
 * or there are too many. */
struct lmn_gateway_job *lmn_gateway_records_new_job(struct lmn_gateway_records *b,
                                                    const struct lmn_job_spec *spec);
struct lmn_remote_job *lmn_gateway_records_new_remote_job(struct lmn_gateway_records *b,
                                                          const char *home,
                                                          const char *ref);

/* A record as it should be: written by lmn_gateway_records_write with others, in few
 * transactions.
 */
struct lmn_record_write {
    struct lmn_gateway_job *job; /* one of the two, taken */
    struct lmn_remote_job *remote_job;
    struct lmn_origin_record origin; /* as it should be */
    struct lmn_execution_record execution;
    bool is_written; /* it is so, on the disk */
};
/* Writes them, the lock not held; those that are written are changed in memory, all are
 * put back. A new record that could not be written is forgotten. */
void lmn_gateway_records_write(struct lmn_gateway_records *b,
                               struct lmn_http_client *client, struct lmn_record_write *w,
                               unsigned n);
/* Records that an operator has evicted the site, or that it is a peer again; in memory
 * only once it is on the disk. The lock is not held. */
void lmn_gateway_records_evict(struct lmn_gateway_records *b,
                               struct lmn_http_client *client, const char *site,
                               bool out);
/* Whether it is evicted; the lock is held. */
bool lmn_gateway_records_is_evicted(const struct lmn_gateway_records *b,
                                    const char *site);
/* Puts back without a change. The lock is held. */
void lmn_gateway_records_release_job(struct lmn_gateway_records *b,
                                     struct lmn_gateway_job *j);
void lmn_gateway_records_release_remote_job(struct lmn_gateway_records *b,
                                            struct lmn_remote_job *g);
/* The name that a guest has at the own controllers: a function of home, ref and epoch. */
void lmn_remote_job_local_id(const char *home, const char *ref, uint64_t epoch,
                             char *local);

#endif
