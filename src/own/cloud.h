/* The cloud's client. */
#ifndef LMN_CLOUD_H
#define LMN_CLOUD_H

/* Reads machine types and lists, rents and returns, for ever (a thread). core: struct
 * lmn_core. */
void *lmn_cloud_thread(void *core);

#endif
