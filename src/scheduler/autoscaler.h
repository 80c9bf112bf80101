/** @file
 * Autoscaler: which machines to provision, decided by the demand, the machines at hand
 * and what the cloud refused lately.
 *
 * It only decides; partition/provisioner.h calls the cloud. Which machines are returned
 * is not decided here. Owner of struct lmn_autoscaler: the provisioner, which passes it
 * in; the decisions are pure functions of it, the shared state and the time. */
#ifndef LMN_SCHEDULER_AUTOSCALER_H
#define LMN_SCHEDULER_AUTOSCALER_H

#include "state/core_state.h"

/** A machine as the cloud lists it, or one of ours that it does not list yet. */
struct lmn_cloud_machine {
    char name[LMN_NAME_SIZE], type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot, is_booting, is_broken, is_listed;
    struct timespec provisioned_at; /**< when it was provisioned */
    struct timespec last_listed_at; /**< when a list last named it */
};

/** After a refusal: until when no machines of the kind are requested. */
struct lmn_capacity_backoff {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    double wait_s; /**< doubles with each refusal; 0: the last request was met */
    struct timespec until;
};

/** How long machines of a type take to boot in a zone, as far as seen. */
struct lmn_boot_time {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    double typical_s; /**< moving average */
};

/** What the autoscaler remembers between its decisions. */
struct lmn_autoscaler {
    GHashTable *machines; /**< name -> struct lmn_cloud_machine */
    GArray *backoffs;     /**< struct lmn_capacity_backoff */
    GArray *boot_times;   /**< struct lmn_boot_time */
};

/** A request for machines of one kind. */
struct lmn_provision_request {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    unsigned count;
};

/** Makes the tables, empty. The caller owns them. */
void lmn_autoscaler_init(struct lmn_autoscaler *autoscaler);

/** Records that the machine was listed as running for the first time, `age_s` seconds
 * after it was provisioned. */
void lmn_autoscaler_record_boot(struct lmn_autoscaler *autoscaler,
                                const struct lmn_cloud_machine *machine, double age_s);

/** Seconds within which a machine of the type should have booted: by what was seen of its
 * kind, and no less than is usual. From then on others are provisioned in its place, as
 * long as only some are late; after twice that time it is returned.
 * @param lag_s by how much the cloud's list may lag */
double lmn_autoscaler_boot_timeout_s(const struct lmn_autoscaler *autoscaler,
                                     const struct lmn_machine_type *type,
                                     const char *zone, double lag_s);

/** Decides whether to provision machines. The core's lock is held.
 * @param[out] request what to provision, if so */
bool lmn_autoscaler_decide(struct lmn_core *core, struct lmn_autoscaler *autoscaler,
                           struct lmn_provision_request *request, struct timespec now);

/** Records how many of the requested machines the cloud granted. */
void lmn_autoscaler_record_result(struct lmn_autoscaler *autoscaler,
                                  const struct lmn_provision_request *request,
                                  unsigned granted, struct timespec now);
#endif
