/* What an owner tells a standby: for each machine, all that may be on it. */
#ifndef LMN_REPLICATION_BATCH_H
#define LMN_REPLICATION_BATCH_H

#include "state/model.h"

struct lmn_told_attempt {
    char ref[LMN_JOB_ID_SIZE];
    uint32_t index;
    uint64_t number;
    bool ended, done; /* as the worker has said */
};

struct lmn_told_image {
    char name[LMN_NAME_SIZE * 2];
    double gb;
    bool there; /* else it was being fetched */
};

/* A machine, whole: it takes the place of what was told of it before. */
struct lmn_told {
    char name[LMN_NAME_SIZE];
    uint64_t session; /* 0: not known */
    bool gone;        /* the cloud has said so */
    bool forget;      /* no record names it any more */
    GArray *attempts; /* struct lmn_told_attempt */
    GArray *images;   /* struct lmn_told_image; NULL: as before */
};

struct lmn_batch {
    int part;
    uint64_t term, stream;
    uint64_t number;     /* 0: the stream begins */
    uint64_t mark;       /* acknowledged, all starts up to this are */
    GPtrArray *machines; /* struct lmn_told */
};

enum { LMN_BATCH_MACHINES = 32 };

struct lmn_told *lmn_told_new(const char *name);
/* What may be on the machine now, by its owner's state; with its images or without. */
struct lmn_told *lmn_told_of(const struct lmn_machine *m, bool images);
void lmn_told_free(gpointer told);
struct lmn_batch *lmn_batch_new(void);
void lmn_batch_free(struct lmn_batch *b);

#endif
