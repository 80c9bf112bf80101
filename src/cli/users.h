/* A user's calls to a site: to any of its controllers, repeated as the protocol says. */
#ifndef LMN_USERS_H
#define LMN_USERS_H

#include "http/client.h"
#include "image_store/image_store.h"
#include "image_store/work.h"
#include "site/site.h"

struct lmn_users {
    unsigned n, turn;
    struct lmn_http_client *controllers[LMN_MAX_MEMBERS + 1];
    struct lmn_http_client *depot;
};

/* What a job's answer says. */
struct lmn_job_state {
    char ref[LMN_JOB_ID_SIZE], state[16];
    uint64_t done, running;
    double waiting_s; /* no machine has had free capacity for so long; 0: not for long */
};

/* From a site's file, or, if controllers is given, from "A,B,C" and a depot's address. -1
 * with err. */
int lmn_users_open(struct lmn_users *users, const char *site, const char *controllers,
                   const char *depot, char *err, size_t len);
void lmn_users_close(struct lmn_users *users);
/* A call, tried at one controller after the other for up to seconds, as long as the
 * answers are such as are retried (429, 503, 504, none), no sooner than Retry-After says.
 * The last status; the answer in *s, if it is a job's. */
int lmn_users_call(struct lmn_users *users, const char *method, const char *path,
                   const GByteArray *body, double seconds, struct lmn_job_state *s);
/* A job's description from the depot. -1 with e. */
int lmn_users_work(struct lmn_users *users, const char *ref, struct lmn_task_command *w,
                   struct lmn_image_store_error *e);

#endif
