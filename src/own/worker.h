/* Workers' reports, and commands sent straight to them. The functions take the lock
 * themselves, but for lmn_machine_bare; none is to be called with it. */
#ifndef LMN_WORKER_H
#define LMN_WORKER_H

#include "state/model.h"

/* Nothing on it that would be lost with it. */
bool lmn_machine_bare(const struct lmn_machine *m);
/* Fills a body for /do with starts for a machine of ours that waits for none; returns
 * false if there is nothing to send. name, addr: buffers of LMN_NAME and LMN_ADDR. */
bool lmn_direct_next(struct lmn_core *c, unsigned lane, unsigned lanes, char *name,
                     char *addr, GByteArray *body, struct timespec now);
/* What became of it. */
void lmn_direct_outcome(struct lmn_core *c, const char *name, int status,
                        const GByteArray *answer, struct timespec now);
/* The same for machines of a partition just taken over, which are asked what they hold.
 * term 0: any machine, only whether it can be reached. */
bool lmn_probe_next(struct lmn_core *c, unsigned lane, unsigned lanes, char *name,
                    char *addr, uint64_t *term, struct timespec now);
void lmn_probe_outcome(struct lmn_core *c, const char *name, uint64_t term, int status,
                       const GByteArray *answer, struct timespec now);
/* A lane of direct commands (a thread). */
void *lmn_direct_thread(void *lane);
struct lmn_lane {
    struct lmn_core *core;
    unsigned lane, lanes;
};
/* Answers a report: returns the HTTP status, and a body in out if there is one. */
int lmn_worker_report(struct lmn_core *c, const void *body, size_t len, GByteArray *out,
                      struct timespec now);

#endif
