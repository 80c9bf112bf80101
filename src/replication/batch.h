/* What an owner tells a standby: for each machine, all that may be on it. */
#ifndef LMN_REPLICATION_BATCH_H
#define LMN_REPLICATION_BATCH_H

#include "state/core_state.h"

struct lmn_attempt_snapshot {
    char job_id[LMN_JOB_ID_SIZE];
    uint32_t index;
    uint64_t number;
    bool has_ended, is_done; /* as the worker has said */
};

struct lmn_image_snapshot {
    char name[LMN_NAME_SIZE * 2];
    double gb;
    bool is_present; /* else it was being fetched */
};

/* A machine, whole: it takes the place of what was told of it before. */
struct lmn_machine_snapshot {
    char name[LMN_NAME_SIZE];
    uint64_t agent_incarnation; /* 0: not known */
    bool is_terminated;         /* the cloud has said so */
    bool is_forgotten;          /* no record names it any more */
    GArray *attempts;           /* struct lmn_attempt_snapshot */
    GArray *images;             /* struct lmn_image_snapshot; NULL: as before */
};

struct lmn_replication_batch {
    int partition;
    uint64_t epoch, stream;
    uint64_t number;       /* 0: the stream begins */
    uint64_t log_position; /* acknowledged, all starts up to this are */
    GPtrArray *machines;   /* struct lmn_machine_snapshot */
};

enum { LMN_REPLICATION_BATCH_MACHINES = 32 };

struct lmn_machine_snapshot *lmn_machine_snapshot_new(const char *name);
/* What may be on the machine now, by its owner's state; with its images or without. */
struct lmn_machine_snapshot *lmn_machine_snapshot_take(const struct lmn_machine *machine,
                                                       bool images);
void lmn_machine_snapshot_free(gpointer told);
struct lmn_replication_batch *lmn_replication_batch_new(void);
void lmn_replication_batch_free(struct lmn_replication_batch *batch);

#endif
