/* Sequences of moves that several searches start with. */
#ifndef LMN_TESTS_TAKEOVER_SEQUENCES_H
#define LMN_TESTS_TAKEOVER_SEQUENCES_H

#include "takeover.h"

/* The standby's replica is complete. The record that names the standby is committed, and
 * is in both watch caches. */
#define SYNC_STANDBY                                                                     \
    REPLICATE_A, REPLICATE_A, REPLICATE_A, COMMIT_STANDBY_A, SYNC_CACHE_A, SYNC_CACHE_B, \
        REPLICATE_A
/* B has suspected A for long enough to declare A failed. */
#define SUSPICION_DUE SUSPECT_A, SYNC_CACHE_B, AGE_SUSPICION

#endif
