/** @file
 * Counts silent machines, from which this controller receives no heartbeats, for a
 * partition and for each of its zones.
 *
 * A single silent machine has most likely failed. If most machines of a zone or of a
 * partition are silent, more likely a network link has failed and the machines are alive.
 * The caller holds the core's lock. */
#ifndef LMN_PARTITION_MACHINE_SILENCE_H
#define LMN_PARTITION_MACHINE_SILENCE_H

#include "state/core_state.h"

/** Number of silent machines in a partition or in one of its zones. */
struct lmn_machine_silence {
    const char *zone;    /**< NULL for the whole partition; else owned by a machine */
    guint silent, total; /**< counting machines from which heartbeats are expected */
};

/** Counts the partition's silent machines.
 * @return array of struct lmn_machine_silence, to be freed by the caller. The first
 * element is for the whole partition, each other one for a zone. It is valid until a
 * machine of the partition is removed. */
GArray *lmn_machine_silence_count(const struct lmn_core *core,
                                  const struct lmn_partition *partition,
                                  struct timespec now);

/** Whether most machines of the whole partition are silent. The failure is then more
 * likely in this controller or its network link than in the machines. */
bool lmn_machine_majority_is_silent(const GArray *silence);

/** Records each zone with a majority of silent machines as cut off, until one heartbeat
 * interval and 10 s from now. */
void lmn_zone_cuts_update(const struct lmn_core *core, struct lmn_partition *partition,
                          const GArray *silence, struct timespec now);

/** Whether the zone is recorded as cut off: its machines are more likely unreachable than
 * failed. */
bool lmn_zone_is_cut_off(const struct lmn_partition *partition, const char *zone,
                         struct timespec now);

/** Since when this controller has answered heartbeats without interruption. That a
 * machine was silent before is no evidence about its network link: this controller
 * refused its heartbeats or was paused. */
struct timespec lmn_heartbeats_answered_since(const struct lmn_core *core);

/** Updates health.silent_machine_share: the fraction of the machines in all partitions of
 * this controller that are silent. The members judge this controller's health by it. */
void lmn_silent_machine_share_update(struct lmn_core *core, struct timespec now);

#endif
