/* An emulated cloud: which machines there are, when they come up, what a list says of
 * them, what is refused, taken, or dies. A model without threads or I/O; times are the
 * caller's steady seconds. */
#ifndef LMN_EMULATOR_CLOUD_H
#define LMN_EMULATOR_CLOUD_H

#include "emulator/knobs.h"
#include "machine_provider/cloud_api.h"
#include "inventory/inventory.h"

struct lmn_emu_machine {
    char name[LMN_NAME_SIZE], addr[LMN_ADDRESS_SIZE], zone[LMN_NAME_SIZE];
    int type;
    bool spot;
    double made, up, gone, dead, taken; /* when; INFINITY: not (yet) */
    bool told;                          /* of its taking */
    double hang_until;
    bool cut;
    void *worker; /* the caller's, once it is up */
};

struct lmn_emu_cloud {
    const struct lmn_inventory *v;
    struct lmn_emulator_faults knobs;
    GRand *rng;
    GPtrArray *machines;  /* struct lmn_emu_machine, by name */
    GHashTable *requests; /* name -> GPtrArray of names */
    uint64_t number;
    uint64_t rented, returned, refused, taken, died;
    double spent; /* money, by what was listed */
};

void lmn_emu_cloud_init(struct lmn_emu_cloud *cloud,
                        const struct lmn_inventory *inventory, uint32_t seed);
void lmn_emu_cloud_clear(struct lmn_emu_cloud *cloud);
/* 200 with names (the caller's), 400 or 503. */
int lmn_emu_cloud_rent(struct lmn_emu_cloud *cloud,
                       const struct lmn_rental_request *request, GPtrArray *names,
                       double now);
/* Whether it was there; from now on it is gone. */
bool lmn_emu_cloud_return(struct lmn_emu_cloud *cloud, const char *name, double now);
/* The list, as old as it is. */
void lmn_emu_cloud_list(struct lmn_emu_cloud *cloud, const char *after,
                        bool (*each)(void *to, const struct lmn_rented_machine *machine),
                        void *to, double now);
void lmn_emu_cloud_types(struct lmn_emu_cloud *cloud,
                         void (*each)(void *to, const struct lmn_machine_type *type),
                         void *to, double now);
/* Sets a knob; an event happens at once. -1 with err. */
int lmn_emu_cloud_set(struct lmn_emu_cloud *cloud, const char *name, double value,
                      double now, char *err, size_t len);
/* Whether the machine lives: it is up, and neither gone, dead nor taken. */
bool lmn_emu_machine_lives(const struct lmn_emu_machine *machine, double now);
/* Forgets machines that no list names any more. Those with a worker stay until it is
 * taken off. */
void lmn_emu_cloud_pass(struct lmn_emu_cloud *cloud, double now);
struct lmn_emu_machine *lmn_emu_cloud_machine(const struct lmn_emu_cloud *cloud,
                                              const char *name);

#endif
