/* What to rent: a decision over the demand, the machines at hand and past refusals. */
#ifndef LMN_SCHEDULER_AUTOSCALER_H
#define LMN_SCHEDULER_AUTOSCALER_H

#include "state/core_state.h"

/* A machine as the cloud lists it, or as a rental of ours that it doesn't list yet. */
struct lmn_cloud_machine {
    char name[LMN_NAME_SIZE], type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot, is_booting, is_broken, is_listed;
    struct timespec rented_at;      /* of the rental */
    struct timespec last_listed_at; /* last in a list */
};

struct lmn_capacity_backoff {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    double wait_s;
    struct timespec until;
};

/* How long machines of a type take to boot in a zone, as far as seen; s. */
struct lmn_boot_time {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    double typical_s;
};

struct lmn_autoscaler {
    GHashTable *machines; /* name -> lmn_cloud_machine */
    GArray *backoffs;
    GArray *boot_times; /* struct lmn_boot_time */
};

struct lmn_provision_request {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    unsigned count;
};

void lmn_autoscaler_init(struct lmn_autoscaler *autoscaler);
/* A machine was first listed as running at that age. */
void lmn_autoscaler_record_boot(struct lmn_autoscaler *autoscaler,
                                const struct lmn_cloud_machine *machine, double age_s);
/* Seconds within which a machine of the type should be up: from what was seen of its
 * kind, and no less than is usual. From then on others are rented in its place, as long
 * as only some are late; after twice that it is returned. */
double lmn_autoscaler_boot_timeout_s(const struct lmn_autoscaler *autoscaler,
                                     const struct lmn_machine_type *type,
                                     const char *zone, double lag_s);
/* Whether to rent, and what. The core's lock is held. */
bool lmn_autoscaler_decide(struct lmn_core *core, struct lmn_autoscaler *autoscaler,
                           struct lmn_provision_request *request, struct timespec now);
/* The cloud gave got of the machines asked for. */
void lmn_autoscaler_record_result(struct lmn_autoscaler *autoscaler,
                                  const struct lmn_provision_request *request,
                                  unsigned got, struct timespec now);
#endif
