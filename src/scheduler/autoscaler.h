/* What to rent: a decision over the demand, the machines at hand and past refusals. */
#ifndef LMN_SCHEDULER_AUTOSCALER_H
#define LMN_SCHEDULER_AUTOSCALER_H

#include "state/model.h"

/* A machine as the cloud lists it, or as a rental of ours that it doesn't list yet. */
struct lmn_listed {
    char name[LMN_NAME_SIZE], type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool spot, booting, broken, listed;
    struct timespec since; /* of the rental */
    struct timespec seen;  /* last in a list */
};

struct lmn_refusal {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool spot;
    double wait_s;
    struct timespec until;
};

/* How long machines of a type take to boot in a zone, as far as seen; s. */
struct lmn_boots {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    double typical;
};

struct lmn_fleet {
    GHashTable *machines; /* name -> lmn_listed */
    GArray *refusals;
    GArray *boots; /* struct lmn_boots */
};

struct lmn_rental {
    char type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool spot;
    unsigned count;
};

void lmn_fleet_init(struct lmn_fleet *f);
/* A machine was first listed as running at that age. */
void lmn_fleet_booted(struct lmn_fleet *f, const struct lmn_listed *m, double age_s);
/* Seconds within which a machine of the type should be up: from what was seen of its
 * kind, and no less than is usual. From then on others are rented in its place, as long
 * as only some are late; after twice that it is returned. */
double lmn_fleet_patience(const struct lmn_fleet *f, const struct lmn_machine_type *t,
                          const char *zone, double lag_s);
/* Whether to rent, and what. The core's lock is held. */
bool lmn_fleet_choose(struct lmn_core *c, struct lmn_fleet *f, struct lmn_rental *r,
                      struct timespec now);
/* The cloud gave got of the machines asked for. */
void lmn_fleet_outcome(struct lmn_fleet *f, const struct lmn_rental *r, unsigned got,
                       struct timespec now);
#endif
