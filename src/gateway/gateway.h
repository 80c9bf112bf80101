/* A site's gateway: takes users' jobs, runs them at home or hands them to sites that are
 * idle, and runs other sites' jobs here; one outcome for each. It reaches its site by the
 * users' interface of the controllers, the state service and the depot, all as published.
 */
#ifndef LMN_GATEWAY_H
#define LMN_GATEWAY_H

#include "gateway/peer_connection.h"

enum { LMN_GATEWAY_MAX_CONTROLLERS = LMN_MAX_MEMBERS + 1, LMN_GATEWAY_MAX_ADDRESSES = 4 };

/* A host drops offers that took longer to come, by its own clock: so that a leash can be
 * reckoned with. */
#define LMN_OFFER_MAX_DELAY_S 10.0

struct lmn_gateway_options {
    char site[LMN_NAME_SIZE], name[LMN_NAME_SIZE];
    char listen[LMN_ADDRESS_SIZE];      /* users, and the command line */
    char link_listen[LMN_ADDRESS_SIZE]; /* other sites' gateways */
    char state[LMN_ADDRESS_SIZE], image_store[LMN_ADDRESS_SIZE], keys[256];
    char controllers[LMN_GATEWAY_MAX_CONTROLLERS][LMN_ADDRESS_SIZE];
    unsigned controller_count;
    struct lmn_peer_key peers[LMN_MAX_PEERS];
    char addresses[LMN_MAX_PEERS][LMN_GATEWAY_MAX_ADDRESSES]
                  [LMN_ADDRESS_SIZE]; /* one of a peer's acts */
    unsigned peer_count;
    char (*teams)[LMN_NAME_SIZE]; /* kept for as long as the process runs */
    unsigned team_count;
    double cpus; /* what the site's machines have together, about */
    /* Work that the controllers have at a time, in seconds of all processors: what they
     * see decides how many machines they rent. */
    double local_work_s;
    double pull_at; /* it pulls while its controllers have less than this part of cpus */
    double share;   /* part of the busiest site's queue that a pull takes */
    unsigned max_transfers;        /* of one job; then it stays at home */
    unsigned max_offers_in_flight; /* offers to one site without an answer */
    double sync_s;              /* between two messages to a site that has nothing new */
    double polls_per_s;         /* requests a second to the own controllers */
    double unreachable_alarm_s; /* a peer that is silent for longer is an alarm */
    int max_txn_operations;     /* of the state service, as is */
    double max_value_kb;        /* of a value, counted as JSON */
};

/* Reads and checks the file; -1 with "file: line N: field: what". */
int lmn_gateway_load(const char *path, struct lmn_gateway_options *options, char *err,
                     size_t len);
/* Runs until the process ends; returns only if it can't start, with err. */
int lmn_gateway_run(const struct lmn_gateway_options *options, char *err, size_t len);

#endif
