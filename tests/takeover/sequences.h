/* Sequences of moves that the searches set out from. */
#ifndef LMN_TESTS_TAKEOVER_SEQUENCES_H
#define LMN_TESTS_TAKEOVER_SEQUENCES_H

#include "takeover.h"

/* The standby's copy is complete, its record written and mirrored by both. */
#define IN_STEP                                                                          \
    REPLICATE_A, REPLICATE_A, REPLICATE_A, RECORD_A, MIRROR_A, MIRROR_B, REPLICATE_A
/* B suspects A for so long that it may judge it. */
#define SUSPECTED SUSPECT, MIRROR_B, SUSPICION_AGES

#endif
