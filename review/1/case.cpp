// A machine stops while an array runs on it whose last task is done already. Another
// machine has room for what is left. See claim.txt.
#include "case.hpp"

// The first task of each array takes 60 s, the second 40 s, the third 2 s.
static const double RUN_S[] = {60, 40, 2};
static const int ARRAYS = 6;

int main(int argc, char **argv)
{
    World w;
    w.site.zones = {"mokotow"};
    w.site.types = {{"woz", 16, 128, 1.4, 0.57, 40, 0.12, 20, {"mokotow"}}};
    w.site.teams = {{"kasa", 136, 280}, {"kontrola", 112, 280}, {"dyspozytor", 88, 280}};
    w.boot_s = 1.3;
    Case c(w, argc, argv);
    {
        // Two machines are up when the controllers start.
        std::lock_guard<std::mutex> guard(w.lock);
        w.rent("woz", "mokotow", false, 0);
        w.rent("woz", "mokotow", false, 0);
    }
    c.start();
    while (now() < 6)
        pause_s(0.1); // the controllers have read the list of machines

    // A service, and arrays of three tasks.
    Value service = job_spec("run-000001", "dyspozytor", 1, 2, 6.7);
    service.set("Sorte", "daemon").set("Urgence", "high").set("TrajetS", 0.0);
    if (w.submit(service, 0) != 201)
        c.end(2, "the service was not accepted");
    for (int i = 0; i < ARRAYS; i++) {
        char id[32];
        snprintf(id, sizeof id, "run-%06d", i + 2);
        for (uint64_t t = 0; t < 3; t++)
            w.jobs[id].run_times[t] = RUN_S[t];
        Value array = job_spec(id, "kasa", 3, 1, 3.1);
        array.set("TrajetS", 30.0);
        if (w.submit(array, 60) != 201)
            c.end(2, "an array was not accepted");
    }
    pause_s(5); // the third tasks are done

    // The machine without the service stops.
    std::string victim;
    {
        std::lock_guard<std::mutex> guard(w.lock);
        bool has_service = false;
        for (auto &m : w.machines) {
            if (!m->worker || m->gone_at >= 0 || m->worker->tasks.empty())
                continue;
            bool here = false;
            for (auto &t : m->worker->tasks)
                here = here || t.job == "run-000001";
            has_service = has_service || here;
            if (!here)
                victim = m->name;
        }
        if (!has_service || victim.empty())
            victim.clear();
    }
    if (victim.empty())
        c.end(2, "service and arrays are not on two machines");
    if (c.trouble)
        w.machine_dies(victim);

    // The trouble is over when the cloud has told the controllers that the machine is
    // gone.
    bool counting = !c.trouble;
    while (now() < 116) {
        pause_s(0.5);
        std::string state;
        if ((int)(now() * 2) % 10 == 0)
            for (int i = 0; i < ARRAYS; i++) {
                char id[32];
                snprintf(id, sizeof id, "run-%06d", i + 2);
                uint64_t done = 0;
                int status = w.ask(id, &state, -1, &done);
                record("user: asks about %s -> %d %s done=%llu", id, status,
                       state.c_str(), (unsigned long long)done);
            }
        std::lock_guard<std::mutex> guard(w.lock);
        for (auto &m : w.machines)
            counting = counting || (m->name == victim && m->gone_at >= 0);
        if (counting)
            w.check_waiting();
        if (w.broken.count("waiting"))
            break;
    }
    if (!counting)
        c.end(2, "the controllers did not return the machine that had stopped");
    for (auto &l : w.longest_wait)
        record("%s waited for %.1f s beside a machine with room", l.first.c_str(),
               l.second);
    record("requests to rent machines: %d", w.rental_requests);
    if (w.broken.count("waiting"))
        c.end(1, "a job has waited for 90 s while a machine that fits had room");
    c.end(0, "no job waited for 90 s");
}
