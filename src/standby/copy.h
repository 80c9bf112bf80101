/* What a standby has been told of a partition that another owns. The core's lock is held
 * by the caller throughout. */
#ifndef LMN_STANDBY_COPY_H
#define LMN_STANDBY_COPY_H

#include "standby/batch.h"

struct lmn_copy {
    uint64_t term, stream;
    uint64_t number;      /* of the last batch taken */
    GHashTable *machines; /* name -> struct lmn_told */
    struct timespec last; /* when a batch came last, steady clock */
};

enum lmn_copy_answer {
    LMN_COPY_TAKEN,   /* or was before */
    LMN_COPY_UNKNOWN, /* of no stream that is followed here, or not the next: begin anew
                       */
    LMN_COPY_REFUSED, /* of a term that is over, or the partition is ours */
};

/* Takes the batch over into the partition's copy; its machines may be moved out of it. A
 * batch that begins a stream takes the place of an older stream's copy. */
enum lmn_copy_answer lmn_copy_take(struct lmn_core *c, struct lmn_batch *b,
                                   struct timespec now);
void lmn_copy_free(struct lmn_copy *copy);

#endif
