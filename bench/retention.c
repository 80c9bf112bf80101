/* Memory of a controller's mirror over a million jobs that come and end.
 *
 *   bench_retention JOBS */
#include "util/clock.h"
#include "protocol/cbor.h"
#include "partition/owner.h"
#include "state/core.h"
#include "state/retention.h"
#include "state/watch_cache.h"
#include "state/records.h"
#include "common.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int main(int argc, char **argv)
{
    static struct lmn_team team = {.name = "t"};
    static struct lmn_settings cfg = {.node_name = "n0",
                                      .partition_count = 1,
                                      .state_requests_per_s = 100,
                                      .state_writes_per_s = 100,
                                      .max_value_kb = 16,
                                      .max_txn_operations = 12,
                                      .heartbeat_s = 1,
                                      .lease_s = 10,
                                      .cancel_s = 30,
                                      .team_count = 1,
                                      .teams = &team};
    struct timespec now = {1000, 0};
    unsigned long jobs = argc > 1 ? strtoul(argv[1], NULL, 10) : 1000000;
    double first = 0, last = 0;
    uint64_t revision = 0;

    struct lmn_core *core = lmn_core_new(&cfg, lmn_kv_client_new(&cfg), 1);
    for (unsigned long n = 0; n < jobs; n++) {
        struct lmn_job_spec s = {.class_name = (char *)"shift-settlement",
                                 .team = (char *)"t",
                                 .image = (char *)"img-07",
                                 .tasks = 20,
                                 .cpus = 1,
                                 .deadline_s = -1};
        char key[64];
        g_snprintf(s.id, sizeof s.id, "run-%09lu", n);
        g_snprintf(key, sizeof key, "j/%s", s.id);
        for (int final = 0; final < 2; final++) {
            GByteArray *b = lmn_job_record_encode(
                &s, final ? LMN_JOB_DONE : LMN_JOB_ACTIVE, !final, 1);
            struct lmn_cbor_document d;
            if (lmn_cbor_parse(&d, b->data, b->len) != 0)
                return 1;
            lmn_watch_cache_apply(core, key, &d, lmn_cbor_root(&d), ++revision, now);
            lmn_cbor_free(&d);
            g_byte_array_unref(b);
        }
        now = lmn_time_add(now, 0.1); /* ten jobs a second */
        lmn_retention_evict(core, now);
        if ((n + 1) % (jobs / 10) == 0) {
            last = bench_resident_mb(0);
            if (first <= 0)
                first = last;
            printf("jobs=%lu in_memory=%u resident=%.1f MB\n", n + 1,
                   g_hash_table_size(core->cache.jobs), last);
        }
    }
    printf("%s after a tenth %.1f MB, at the end %.1f MB\n",
           last < 1.1 * first + 2 ? "FLAT" : "GROWS", first, last);
    return last < 1.1 * first + 2 ? 0 : 1;
}
