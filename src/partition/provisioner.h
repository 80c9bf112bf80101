/* The cloud's client. */
#ifndef LMN_PARTITION_PROVISIONER_H
#define LMN_PARTITION_PROVISIONER_H

/* Reads machine types and lists, rents and returns, for ever (a thread). core: struct
 * lmn_core. */
void *lmn_provisioner_thread(void *core);

#endif
