/* What can be wrong in an emulated fleet: each knob has a name, and is set in a file, by
 * a script of troubles at set times, or while it runs. */
#ifndef LMN_EMULATOR_KNOBS_H
#define LMN_EMULATOR_KNOBS_H

#include <stdbool.h>
#include <stddef.h>

struct lmn_emulator_faults {
    double capacity; /* share of the pools that can be had */
    double outage;   /* 1: the cloud answers 503 to everything */
    double refuse;   /* share of rentals that are refused */
    double boot; /* times ready_s that a boot takes, give or take (0.6 to 1.5 of it) */
    double boot_slow;    /* share of boots that take four times as long */
    double boot_never;   /* share of machines that never come up */
    double list_lag_s;   /* how old a list is, sometimes twice as old */
    double price_wobble; /* spot prices move by so much around the nominal price */
    double notice_s;     /* before a spot machine is taken */
    double no_notice;    /* share of those that are taken without notice */
    double slow;         /* share of new machines that are five times slower */
    double faulty;       /* share of new machines on which every task fails */
    double cut;          /* share of machines that can neither report nor be reached */
    double noise;  /* of run times: sigma of a log-normal factor around the estimate */
    double speed;  /* run times are divided by it */
    double hang_s; /* how long a machine hangs */
    double own_connections; /* 1: each worker keeps a connection of its own, as real ones
                               do; 0: all share a few */
    /* events: setting one does it to that share of the machines, once */
    double take; /* spot machines are taken */
    double die;  /* machines die */
    double hang; /* machines hang for hang_s, and then go on */
};

extern const struct lmn_emulator_faults lmn_emulator_faults_default;
/* Names, NULL past the last; whether it is an event. */
const char *lmn_emulator_fault_name(size_t i);
bool lmn_emulator_fault_is_event(const char *name);
/* 0, or -1 with what is wrong in err. */
int lmn_emulator_fault_set(struct lmn_emulator_faults *k, const char *name, double value,
                           char *err, size_t len);
double lmn_emulator_fault_value(const struct lmn_emulator_faults *k, size_t i);

#endif
