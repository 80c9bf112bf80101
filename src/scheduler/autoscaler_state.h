/** @file
 * The autoscaler's state: the cloud's machines as last listed, observed boot times, and
 * backoffs after refusals.
 *
 * partition/provisioner.h owns it and passes it on; scheduler/autoscaler.h decides with
 * it. Only the provisioner's thread uses it, so no lock guards it. */
#ifndef LMN_SCHEDULER_AUTOSCALER_STATE_H
#define LMN_SCHEDULER_AUTOSCALER_STATE_H

#include "state/core_state.h"

/** A machine that the cloud lists, or that was provisioned and is not listed yet. */
struct lmn_cloud_machine {
    char name[LMN_NAME_SIZE], type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot, is_booting, is_broken, is_listed;
    struct timespec provisioned_at;
    struct timespec last_listed_at; /**< when a list of the cloud last contained it */
    struct timespec booted_at; /**< when a list first showed that its boot had ended; 0:
                                  no list showed it booting */
};

/** Backoff after the cloud has refused machines of one type, zone and price model. */
struct lmn_capacity_backoff {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    double wait_s; /**< doubles with each refusal; 0: the last request was granted */
    struct timespec until; /**< no machines are requested before */
};

/** Observed boot time of machines of one type in one zone. */
struct lmn_boot_time {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    double typical_s; /**< moving average of the observed boots */
};

/** State of the autoscaler between decisions. */
struct lmn_autoscaler {
    GHashTable *machines; /**< name -> struct lmn_cloud_machine */
    GArray *backoffs;     /**< struct lmn_capacity_backoff */
    GArray *boot_times;   /**< struct lmn_boot_time */
};

/** A request to the cloud for machines of one type, zone and price model. */
struct lmn_provision_request {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    unsigned count;
};

/** Creates empty tables. */
void lmn_autoscaler_init(struct lmn_autoscaler *autoscaler);

/** Records a completed boot.
 * @param age_s seconds from the machine's provisioning to the list that first showed it
 * as running */
void lmn_autoscaler_record_boot(struct lmn_autoscaler *autoscaler,
                                const struct lmn_cloud_machine *machine, double age_s);

/** Seconds within which a machine of the type is expected to boot in the zone:
 * USUAL_BOOT_FACTOR (autoscaler_state.c) times the larger of the type's boot time and the
 * observed one, plus twice `lag_s`. After that time, a replacement is provisioned if only
 * few machines are late; after twice that time the machine is returned.
 * @param lag_s seconds by which the cloud's list may be out of date */
double lmn_autoscaler_boot_timeout_s(const struct lmn_autoscaler *autoscaler,
                                     const struct lmn_machine_type *type,
                                     const char *zone, double lag_s);

/** Records how many of the requested machines the cloud has granted; fewer than requested
 * starts a backoff. */
void lmn_autoscaler_record_result(struct lmn_autoscaler *autoscaler,
                                  const struct lmn_provision_request *request,
                                  unsigned granted, struct timespec now);

/** Whether a refusal by the cloud still forbids requests for machines of the type, zone
 * and price model. */
bool lmn_autoscaler_is_backing_off(const struct lmn_autoscaler *autoscaler,
                                   const char *type, const char *zone, bool is_spot,
                                   struct timespec now);

/** Whether a request for spot instances was ever refused. */
bool lmn_autoscaler_was_refused_spot(const struct lmn_autoscaler *autoscaler);

#endif
