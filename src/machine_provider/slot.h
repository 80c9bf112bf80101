/* A slot: a machine of the inventory that its operator starts. It asks the fleet again
 * and again what it should be, runs an agent under the name that it is given, and ends it
 * when the name is taken back: each rental is a new machine to the controllers. */
#ifndef LMN_MACHINE_PROVIDER_SLOT_H
#define LMN_MACHINE_PROVIDER_SLOT_H

#include "machine_provider/local_agents.h"

struct lmn_slot_options {
    char name[LMN_NAME_SIZE], provider_address[LMN_ADDRESS_SIZE];
    struct lmn_local_agent_options local;
};

int lmn_slot_load(const char *path, struct lmn_slot_options *options, char *err,
                  size_t len);
/* Runs until the process ends. The agent it has started goes on without it. */
void lmn_slot_run(const struct lmn_slot_options *options);

#endif
