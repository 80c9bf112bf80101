/* The cloud's side of the published protocol, over whatever rents out machines: a static
 * fleet (machine_provider/static_provider.h) or an emulated one (emulator/cloud.h). */
#ifndef LMN_MACHINE_PROVIDER_CLOUD_API_H
#define LMN_MACHINE_PROVIDER_CLOUD_API_H

#include "http/server.h"
#include "job/job_spec.h"

#include <time.h>

enum { LMN_MAX_RENTAL_COUNT = 50, LMN_MAX_RETURN_COUNT = 100, LMN_MAX_LIST_COUNT = 500 };

struct lmn_rental_request {
    char request[200], type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool is_spot;
    unsigned count;
};

struct lmn_rented_machine {
    char name[LMN_NAME_SIZE], address[LMN_ADDRESS_SIZE], type[LMN_NAME_SIZE],
        zone[LMN_NAME_SIZE];
    bool is_spot;
    const char *state; /* one of the protocol's words */
    double age_s;
};

/* Ops may be called from several threads, and may wait. */
struct lmn_machine_provider_ops {
    /* The current types, with current prices. */
    void (*types)(void *arg, void (*each)(void *to, const struct lmn_machine_type *type),
                  void *to);
    /* HTTP status: 200 with names (strings of the caller's to free), 400, 503. */
    int (*rent)(void *arg, const struct lmn_rental_request *request, GPtrArray *names);
    /* 200: they and everything on them are gone; 503. */
    int (*give_back)(void *arg, char *const *names, unsigned n);
    /* In the order of names, after the name, until each returns false. */
    void (*list)(void *arg, const char *after,
                 bool (*each)(void *to, const struct lmn_rented_machine *machine),
                 void *to);
    void (*metrics)(void *arg, GString *out);
    /* Any other path; false: not known. May be NULL. */
    bool (*other)(void *arg, struct lmn_http_request *call);
};

/* Serves it: more than rps requests a second (bursts of two seconds' worth) are answered
 * 429; 0: no limit. NULL if it can't listen. Serves until the process ends. */
struct lmn_http_server *
lmn_machine_provider_serve(const char *listen, double rps,
                           const struct lmn_machine_provider_ops *ops, void *arg);

#endif
