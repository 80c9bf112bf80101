#include "emulator/knobs.h"

#include <stdio.h>
#include <string.h>

const struct lmn_emulator_faults lmn_emulator_faults_default = {
    .capacity = 1,
    .boot = 1,
    .list_lag_s = 1,
    .price_wobble = 0.33,
    .notice_s = 20,
    .no_notice = 0.2,
    .noise = 0.3,
    .speed = 1,
    .hang_s = 20,
};

static const struct {
    const char *name;
    size_t at;
    double hi;
    bool event;
} knobs[] = {
#define KNOB(name, hi, event)                                                            \
    {                                                                                    \
#name, offsetof(struct lmn_emulator_faults, name), hi, event                     \
    }
    KNOB(capacity, 1, false),
    KNOB(outage, 1, false),
    KNOB(refuse, 1, false),
    KNOB(boot, 1000, false),
    KNOB(boot_slow, 1, false),
    KNOB(boot_never, 1, false),
    KNOB(list_lag_s, 3600, false),
    KNOB(price_wobble, 1, false),
    KNOB(notice_s, 3600, false),
    KNOB(no_notice, 1, false),
    KNOB(slow, 1, false),
    KNOB(faulty, 1, false),
    KNOB(cut, 1, false),
    KNOB(noise, 3, false),
    KNOB(speed, 1e6, false),
    KNOB(hang_s, 3600, false),
    KNOB(own_connections, 1, false),
    KNOB(take, 1, true),
    KNOB(die, 1, true),
    KNOB(hang, 1, true),
#undef KNOB
};

enum { N = sizeof knobs / sizeof *knobs };

const char *lmn_emulator_fault_name(size_t i)
{
    return i < N ? knobs[i].name : NULL;
}

double lmn_emulator_fault_value(const struct lmn_emulator_faults *k, size_t i)
{
    return *(const double *)((const char *)k + knobs[i].at);
}

bool lmn_emulator_fault_is_event(const char *name)
{
    for (size_t i = 0; i < N; i++)
        if (!strcmp(knobs[i].name, name))
            return knobs[i].event;
    return false;
}

int lmn_emulator_fault_set(struct lmn_emulator_faults *k, const char *name, double value,
                           char *err, size_t len)
{
    for (size_t i = 0; i < N; i++) {
        if (strcmp(knobs[i].name, name))
            continue;
        if (!(value >= 0 && value <= knobs[i].hi)) {
            snprintf(err, len, "%s: expected a number from 0 to %g", name, knobs[i].hi);
            return -1;
        }
        *(double *)((char *)k + knobs[i].at) = value;
        return 0;
    }
    snprintf(err, len, "%s: no such trouble", name);
    return -1;
}
