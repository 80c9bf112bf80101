// Small jobs come several times as often, and all fit on one machine. See claim.txt.
#include "case.hpp"

static const int JOBS = 5, FACTOR = 3, TASKS = 100;

int main(int argc, char **argv)
{
    World w;
    w.site.zones = {"charguia"};
    w.site.report_s = 3, w.site.lease_s = 44, w.site.cancel_s = 64;
    w.site.rps = 200, w.site.write_rps = 80, w.site.txn_ops = 48;
    w.site.cloud_rps = 4, w.site.list_lag_s = 6;
    w.site.cores = 0.2, w.site.memory_mb = 200, w.site.max_connections = 2500;
    w.site.types = {{"borne", 8, 32, 0.57, 0.19, 60, 0.5, 20, {"charguia"}},
                    {"guichet", 32, 64, 1.88, 0.64, 30, 0.6, 40, {"charguia"}},
                    {"coffre", 64, 256, 4.19, 1.43, 60, 0.3, 20, {"charguia"}}};
    w.site.teams = {{"astreinte", 0, 0}, {"mairie", 0, 0}};
    w.boot_s = 1.3;
    Case c(w, argc, argv);
    c.start();
    int jobs = c.trouble ? JOBS * FACTOR : JOBS;
    // Within 10 s, as often as `jobs` says: arrays of 100
    // tasks of 0.04 CPUs and 0.15 GB that run 20 s.
    for (int i = 0; i < jobs; i++) {
        char id[32];
        snprintf(id, sizeof id, "run-%06d", i + 1);
        Value job = job_spec(id, "mairie", TASKS, 0.04, 0.15);
        job.set("Ligne", "plaques").set("Urgence", "idle").set("TrajetS", 20.0);
        if (w.submit(job, 20) != 201)
            c.end(2, "a job was not accepted");
        pause_s(10.0 / jobs);
    }
    while (now() < 112) {
        pause_s(5);
        size_t done = 0;
        for (int i = 0; i < jobs; i++) {
            char id[32];
            snprintf(id, sizeof id, "run-%06d", i + 1);
            std::string state;
            w.ask(id, &state);
            done += state == "done";
        }
        std::lock_guard<std::mutex> guard(w.lock);
        record("jobs done %zu of %d, starts %d, largest report %zu, largest answer to a "
               "worker "
               "%zu, largest command %zu",
               done, jobs, w.starts, w.largest_report, w.largest_answer,
               w.largest_command);
        if ((int)done == jobs)
            break;
    }
    std::lock_guard<std::mutex> guard(w.lock);
    if (w.largest_answer > 64 * 1024 || w.largest_command > 64 * 1024) {
        w.lock.unlock();
        c.end(1, "a message to a worker was larger than 64 KiB");
    }
    w.lock.unlock();
    c.end(0, "no message to a worker was larger than 64 KiB");
}
