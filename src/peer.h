/* Between processes: the administration API and what controllers ask of each other. */
#ifndef LMN_PEER_H
#define LMN_PEER_H

#include "core.h"

/* Serves internal_addr (a thread). -1 if it can't listen. */
int lmn_peer_start(struct lmn_core *c);
/* Pulls work from other partitions for machines that have run dry (a thread). */
void *lmn_peer_thread(void *core);
/* The administration client: returns the process's exit code. */
int lmn_admin_main(const char *addr, int argc, char **argv);

#endif
