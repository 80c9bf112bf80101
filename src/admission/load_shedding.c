#include "admission/load_shedding.h"

#include <math.h>

/* Seconds behind from which on some are shed. A poll waits for 2 s and a submission for
 * 5 s (the protocol's patience); a report for 4 s. */
static const double FROM_S[LMN_SHED_KINDS] = {0.4, 1.0, 1.5};

void lmn_load_record_delay(struct lmn_load *load, double late_s, double dt_s)
{
    double late = MAX(late_s, 0);

    if (late > load->delay_s)
        load->delay_s += (late - load->delay_s) / 2;
    else
        load->delay_s += (late - load->delay_s) * (1 - exp(-MAX(dt_s, 0)));
}

double lmn_load_shed_share(double behind_s, enum lmn_shed_kind what)
{
    return CLAMP(behind_s / FROM_S[what] - 1, 0, 1);
}

bool lmn_load_should_shed(struct lmn_load *load, enum lmn_shed_kind what, GRand *rng)
{
    double share = lmn_load_shed_share(load->delay_s, what);
    bool shed = share > 0 && g_rand_double(rng) < share;

    load->shed_counts[what] += shed;
    return shed;
}

int lmn_retry_after(double wait_s, GRand *rng)
{
    double wait = CLAMP(wait_s, 1, 20);

    /* No sooner than the wait, and up to half as long again. */
    return (int)CLAMP(ceil(wait * g_rand_double_range(rng, 1, 1.5)), 1, 30);
}
