/** @file
 * Autoscaler: decides which machines to provision, from the demand, the present machines
 * and recent refusals by the cloud.
 *
 * partition/provisioner.h calls the cloud, owns struct lmn_autoscaler, and decides which
 * machines are returned. Decisions are pure functions of struct lmn_autoscaler, the
 * core's state and the time. */
#ifndef LMN_SCHEDULER_AUTOSCALER_H
#define LMN_SCHEDULER_AUTOSCALER_H

#include "scheduler/autoscaler_state.h"

/** Decides whether to provision machines. The caller holds the core's lock.
 * @param[out] request the machines to provision; valid only if the result is true */
bool lmn_autoscaler_decide(struct lmn_core *core, struct lmn_autoscaler *autoscaler,
                           struct lmn_provision_request *request, struct timespec now);

#endif
