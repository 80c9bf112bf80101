/* What to rent: a decision over the demand, the machines at hand and past refusals. */
#ifndef LMN_FLEET_H
#define LMN_FLEET_H

#include "state/model.h"

/* A machine as the cloud lists it, or as a rental of ours that it doesn't list yet. */
struct lmn_listed {
    char name[LMN_NAME], type[LMN_NAME], zone[LMN_NAME];
    bool spot, booting, broken, listed;
    struct timespec since; /* of the rental */
    struct timespec seen;  /* last in a list */
};

struct lmn_refusal {
    char type[LMN_NAME], zone[LMN_NAME];
    bool spot;
    double wait_s;
    struct timespec until;
};

struct lmn_fleet {
    GHashTable *machines; /* name -> lmn_listed */
    GArray *refusals;
};

struct lmn_rental {
    char type[LMN_NAME], zone[LMN_NAME];
    bool spot;
    unsigned count;
};

void lmn_fleet_init(struct lmn_fleet *f);
/* Whether to rent, and what. The core's lock is held. */
bool lmn_fleet_choose(struct lmn_core *c, struct lmn_fleet *f, struct lmn_rental *r,
                      struct timespec now);
/* The cloud gave got of the machines asked for. */
void lmn_fleet_outcome(struct lmn_fleet *f, const struct lmn_rental *r, unsigned got,
                       struct timespec now);
#endif
