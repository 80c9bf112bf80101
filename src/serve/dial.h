/* Connections to controllers' internal addresses. */
#ifndef LMN_DIAL_H
#define LMN_DIAL_H

#include <rpc/rpc.h>

/* NULL if there is none within 0.6 s. The caller ends it by clnt_destroy. */
CLIENT *lmn_peer_dial(const char *addr);
CLIENT *lmn_peer_dial_within(const char *addr, double seconds);

#endif
