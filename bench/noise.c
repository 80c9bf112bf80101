/* How soon a failed controller is judged, against how often one is judged that has not
 * failed: by the product's rule, and by two that know no suspicion (a fixed time, and an
 * accrual detector alone, at growing thresholds). Simulated time, no site.
 *
 *   bench_noise MEMBERS SECONDS */
#include "simulation/controller_group.h"

#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
    static const struct {
        enum lmn_controller_group_rule rule;
        double threshold;
        const char *name;
    } rules[] = {
        {LMN_GROUP_RULE_PRODUCT, 0, "suspicion, then verdict"},
        {LMN_GROUP_RULE_FIXED_TIMEOUT, 0.5, "a question unanswered for 0.5 s"},
        {LMN_GROUP_RULE_FIXED_TIMEOUT, 1, "for 1 s"},
        {LMN_GROUP_RULE_FIXED_TIMEOUT, 2, "for 2 s"},
        {LMN_GROUP_RULE_FIXED_TIMEOUT, 4, "for 4 s"},
        {LMN_GROUP_RULE_PHI, 3, "phi of 3"},
        {LMN_GROUP_RULE_PHI, 8, "phi of 8"},
        {LMN_GROUP_RULE_PHI, 15, "phi of 15"},
    };
    enum { DEATHS = 60 };

    if (argc != 3) {
        fprintf(stderr, "usage: bench_noise MEMBERS SECONDS\n");
        return 2;
    }
    printf("5%% of messages lost, each node stands still once a minute for up to 2 s, "
           "peers refuse each other for 10 s "
           "every 10 minutes\n");
    for (size_t i = 0; i < sizeof rules / sizeof *rules; i++) {
        struct lmn_controller_group_options o = {.members = atoi(argv[1]),
                                                 .lease_s = 31,
                                                 .heartbeat_s = 6,
                                                 .seconds = atof(argv[2]),
                                                 .store_latency_s = 0.004,
                                                 .loss = 0.05,
                                                 .stall_interval_s = 60,
                                                 .max_stall_s = 2,
                                                 .refusal_interval_s = 600,
                                                 .rule = rules[i].rule,
                                                 .threshold = rules[i].threshold,
                                                 .seed = 3};
        struct lmn_controller_group_result r;
        double sum = 0, most = 0;
        int judged = 0;
        lmn_simulate_controller_group(&o, &r);
        unsigned wrong = r.false_failures, suspicions = r.suspicions;
        o.seconds = 60;
        o.max_stall_s = 1;
        o.refusal_interval_s = 0;
        o.failing_members = 1;
        for (int k = 0; k < DEATHS; k++) {
            o.seed = (uint32_t)k + 1;
            o.failed_at_s = 20 + k * 0.037;
            lmn_simulate_controller_group(&o, &r);
            if (r.declared_failed_s < 0)
                continue;
            judged++;
            sum += r.declared_failed_s;
            most = r.declared_failed_s > most ? r.declared_failed_s : most;
        }
        printf("%-32s false verdicts %6u (suspicions %u); %d of %d deaths judged after "
               "%.2f s on average, %.2f s at the "
               "most\n",
               rules[i].name, wrong, suspicions, judged, DEATHS,
               judged ? sum / judged : 0, most);
    }
    return 0;
}
