/* What the files of a gateway share. */
#ifndef LMN_GATEWAY_GATEWAY_INTERNAL_H
#define LMN_GATEWAY_GATEWAY_INTERNAL_H

#include "util/token_bucket.h"
#include "http/server.h"
#include "gateway/records.h"
#include "gateway/gateway.h"

/* A peer as this site's gateway sees it. */
struct lmn_gateway_peer {
    struct lmn_gateway *gateway;
    unsigned index;
    struct timespec last_contact_at; /* it last spoke, either way */
    struct timespec synced_at; /* our last sync that it answered: leashes count from it */
    double queued_cpu_s;       /* work that waits there, as it last said */
    unsigned pull_count;       /* jobs to ask it for with the next sync */
    bool is_up, alarm_raised;
    char last_failure[160]; /* the last failure */
    uint64_t connects, failures, messages, bytes, offers_out, offers_in, outcomes_out,
        outcomes_in;
    uint64_t incarnation;
    GQueue refusals; /* struct lmn_gateway_rejection: to be told once; the peer asks again
                        if it was lost */
    pthread_cond_t sync_due; /* with the book's lock */
    bool has_news;
};

struct lmn_gateway_rejection {
    char job_id[LMN_JOB_ID_SIZE];
    uint64_t epoch;
};

struct lmn_gateway {
    const struct lmn_gateway_options *options;
    struct lmn_gateway_records records;
    struct lmn_tls *tls;
    struct lmn_gateway_peer peers[LMN_MAX_PEERS]; /* guarded by the book's lock */
    bool is_fenced; /* the state was restored: nothing goes out until an operator has said
                    what is so */
    GRand *random;
    double poll_s; /* interval of pulls, by the book's lock */
    struct timespec next_pull_at;
    GQueue requests; /* users' calls that write, for the hands */
    pthread_cond_t request_queued;
    struct lmn_http_server *http_server;
    uint64_t submitted, cancelled, pulls, empty_pulls;
};

/* Processors that the job needs, all its tasks together. */
double lmn_job_spec_total_cpus(const struct lmn_job_spec *spec);
/* What was handed to the own controllers and has not ended, guests too: in processors,
 * and in processor seconds; the lock is held. */
void lmn_gateway_local_load(const struct lmn_gateway *gateway, double *cpus,
                            double *work_s);
/* Processor seconds that wait at home; the lock is held. */
double lmn_gateway_queued_cpu_s(const struct lmn_gateway *gateway);
/* The jobs that wait at home and that nobody holds, in the order in which the home starts
 * them: by urgency, then the oldest. The lock is held; the caller frees the array. */
GPtrArray *lmn_gateway_waiting_jobs(const struct lmn_gateway *gateway);
/* NULL: there is no such peer. */
struct lmn_gateway_peer *lmn_gateway_peer_by_site(struct lmn_gateway *gateway,
                                                  const char *site);
/* Tells the peer's thread that there is something to say; the lock is held. */
void lmn_gateway_peer_wake(struct lmn_gateway *gateway, const char *site);

/* --- users (http_api.c) --- */
int lmn_gateway_http_start(struct lmn_gateway *gateway);

/* --- the own controllers (cluster_client.c); for ever (threads) --- */
void *lmn_cluster_client_thread(void *gateway);

/* --- other sites (execution.c, origin.c) --- */
void *lmn_execution_thread(void *peer); /* asks the peer, as the host of its jobs */
int lmn_origin_start(struct lmn_gateway *gateway, char *err,
                     size_t len);             /* answers peers, as the home of jobs */
void *lmn_gateway_pull_thread(void *gateway); /* decides whom to pull from */

#endif
