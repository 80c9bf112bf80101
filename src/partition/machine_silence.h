/** @file
 * Machines that this controller gets no heartbeats from, counted over a partition and
 * over its zones: what their number says about the fault's place.
 *
 * One silent machine is most likely gone. If most of a zone or of a partition are silent,
 * a network link is more likely cut, and they are alive. The core's lock is held by the
 * caller throughout. */
#ifndef LMN_PARTITION_MACHINE_SILENCE_H
#define LMN_PARTITION_MACHINE_SILENCE_H

#include "state/core_state.h"

/** Silent machines of a partition, or of one of its zones. */
struct lmn_machine_silence {
    const char *zone;    /**< NULL: of all zones together; else a machine's own string */
    guint silent, total; /**< of the machines that heartbeats are expected from */
};

/** Counts the partition's silent machines.
 * @return array of struct lmn_machine_silence, to be freed by the caller: first the whole
 * partition, then each zone; valid until a machine is removed */
GArray *lmn_machine_silence_count(const struct lmn_core *core,
                                  const struct lmn_partition *partition,
                                  struct timespec now);

/** Whether most machines of the whole partition are silent: then the fault is more likely
 * on this controller's side. */
bool lmn_machine_majority_is_silent(const GArray *silence);

/** Records zones most of whose machines are silent as cut off, for a while. */
void lmn_zone_cuts_update(const struct lmn_core *core, struct lmn_partition *partition,
                          const GArray *silence, struct timespec now);

/** Whether the zone counts as cut off now. */
bool lmn_zone_is_cut_off(const struct lmn_partition *partition, const char *zone,
                         struct timespec now);

/** Since when this controller has answered heartbeats without a break. A machine that was
 * silent by then was refused here, or had nobody to talk to, which says nothing about its
 * link. */
struct timespec lmn_heartbeats_answered_since(const struct lmn_core *core);

/** Updates the share of its machines, in all its partitions together, that this
 * controller gets no heartbeats from: the members judge its own health by that. */
void lmn_silent_machine_share_update(struct lmn_core *core, struct timespec now);

#endif
