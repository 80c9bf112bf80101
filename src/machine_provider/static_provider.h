/* A static fleet: the inventory's machines, as agents on this host (pools) and as slots
 * that operators start elsewhere. What is rented is kept in a database, so that a
 * reservation means the same after a restart. */
#ifndef LMN_MACHINE_PROVIDER_STATIC_PROVIDER_H
#define LMN_MACHINE_PROVIDER_STATIC_PROVIDER_H

#include "machine_provider/cloud_api.h"
#include "machine_provider/local_agents.h"
#include "inventory/inventory.h"

struct lmn_static_provider;

/* Opens the database in dir and takes up what it says: agents that run are left running.
 * NULL with err. The inventory and options must outlive it. */
struct lmn_static_provider *
lmn_static_provider_new(const struct lmn_inventory *inventory,
                        const struct lmn_local_agent_options *o, const char *dir,
                        char *err, size_t len);
extern const struct lmn_machine_provider_ops
    lmn_static_provider_ops; /* arg: struct lmn_static_provider */
/* Starts again what has ended, for ever (a thread). */
void *lmn_static_provider_thread(void *fleet);

#endif
