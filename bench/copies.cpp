// Calls to workers that were answered arrive again: three real controllers on the
// stand-ins of review/standins. Run by bench/copies.
//
// Each call with commands is delivered twice more to its worker, after 4 to 16 s and
// after 34 to 60 s. Meanwhile a third of the small tasks fail once, a team is at its
// limit with waves of short tasks, and long jobs are cancelled (cancel_s is 30 s). Exit
// status: 0 if no copy began an attempt, no rule was broken, and all jobs were done.
#include "case.hpp"

namespace
{
const int SMALL_JOBS = 30, SMALL_TASKS = 3, WAVES = 12, WAVE_TASKS = 8, LONG_JOBS = 4;
const double JOB_INTERVAL_S = 1.5, CANCEL_AT_S = 30, END_S = 112;
const double SMALL_RUN_S = 10, FAILS_AFTER_S = 5;

struct Copy {
    std::string worker;
    Request request;
    double at;
};

struct Copies {
    World &world;
    std::mutex lock;
    std::vector<Copy> waiting;
    bool is_delivering = false; // by this program, in its only thread that delivers
    std::thread::id deliverer;
    int delivered = 0, refused = 0, begun = 0;

    explicit Copies(World &w) : world(w)
    {
    }

    void keep(const Worker &worker, const Request &request)
    {
        std::lock_guard<std::mutex> guard(lock);
        if (request.path != "/do" ||
            (is_delivering && deliverer == std::this_thread::get_id()))
            return;
        waiting.push_back({worker.name, request, now() + world.uniform(4, 16)});
        waiting.push_back({worker.name, request, now() + world.uniform(34, 60)});
    }

    std::vector<Copy> take_due()
    {
        std::lock_guard<std::mutex> guard(lock);
        std::vector<Copy> due;
        for (size_t i = 0; i < waiting.size();)
            if (now() >= waiting[i].at) {
                due.push_back(waiting[i]);
                waiting.erase(waiting.begin() + (long)i);
            } else {
                i++;
            }
        return due;
    }

    std::shared_ptr<Worker> find_worker(const std::string &name)
    {
        std::lock_guard<std::mutex> guard(world.lock);
        for (auto &machine : world.machines)
            if (machine->worker && machine->worker->name == name &&
                !machine->worker->gone)
                return machine->worker;
        return nullptr;
    }

    size_t count_attempts(const Worker &worker)
    {
        std::lock_guard<std::mutex> guard(world.lock);
        return worker.tasks.size();
    }

    void deliver_due()
    {
        for (auto &copy : take_due()) {
            auto worker = find_worker(copy.worker);
            if (!worker)
                continue;
            {
                std::lock_guard<std::mutex> guard(lock);
                is_delivering = true;
                deliverer = std::this_thread::get_id();
            }
            size_t before = count_attempts(*worker);
            int status = world.handle_worker(worker, copy.request).status;
            size_t after = count_attempts(*worker);
            delivered++;
            refused += status == 409;
            begun += after > before && status == 200 ? (int)(after - before) : 0;
        }
    }
};

std::string job_id(int number)
{
    char id[32];
    snprintf(id, sizeof id, "run-%06d", number);
    return id;
}

void submit(Case &c, int number, const char *team, int tasks, double cpus, double run_s)
{
    Value job = job_spec(job_id(number), team, (uint64_t)tasks, cpus, 0.2);
    job.set("TrajetS", run_s);
    if (c.world.submit(job, run_s) != 201)
        c.end(2, "a job was not accepted");
}

// Ends the first attempt of task 0 of each small job with an error.
void fail_first_attempts(World &w, std::set<std::string> &failed)
{
    std::lock_guard<std::mutex> guard(w.lock);
    for (auto &machine : w.machines) {
        if (!machine->worker)
            continue;
        for (auto &task : machine->worker->tasks)
            if (task.state == "running" && task.index == 0 && task.job < job_id(100) &&
                now() - task.started_at > FAILS_AFTER_S &&
                failed.insert(task.name()).second)
                w.end_task(*machine->worker, task, "error");
    }
}

int count_done(World &w)
{
    int done = 0;
    for (int i = 0; i < SMALL_JOBS + WAVES; i++) {
        std::string state;
        w.ask(i < SMALL_JOBS ? job_id(1 + i) : job_id(100 + i - SMALL_JOBS), &state);
        done += state == "done";
    }
    return done;
}

void set_up_site(World &w)
{
    w.site.zones = {"charguia"};
    w.site.report_s = 3, w.site.lease_s = 20, w.site.cancel_s = 30;
    w.site.rps = 200, w.site.write_rps = 80, w.site.txn_ops = 48;
    w.site.cloud_rps = 4, w.site.list_lag_s = 2;
    w.site.cores = 0.2, w.site.memory_mb = 200, w.site.max_connections = 2500;
    w.site.types = {{"borne", 8, 32, 0.57, 0.19, 60, 0.5, 20, {"charguia"}}};
    w.site.teams = {{"astreinte", 0, 0}, {"mairie", 0, 8}};
    w.boot_s = 1.3;
}
} // namespace

int main(int argc, char **argv)
{
    World w;
    set_up_site(w);
    Case c(w, argc, argv);
    Copies copies(w);
    std::set<std::string> failed;
    if (c.trouble)
        w.on_command = [&](Worker &worker, const Request &request) {
            copies.keep(worker, request);
            return Response(200);
        };
    auto pass = [&](double until) {
        while (now() < until) {
            pause_s(0.05);
            fail_first_attempts(w, failed);
            copies.deliver_due();
        }
    };
    c.start();
    for (int i = 0; i < LONG_JOBS; i++)
        submit(c, 900 + i, "astreinte", 2, 1, 600);
    double begin = now();
    for (int i = 0; i < SMALL_JOBS; i++) {
        submit(c, 1 + i, "astreinte", SMALL_TASKS, 0.5, SMALL_RUN_S);
        if (i < WAVES)
            submit(c, 100 + i, "mairie", WAVE_TASKS, 1, 1);
        pass(begin + (i + 1) * JOB_INTERVAL_S);
        for (int k = 0; i == (int)(CANCEL_AT_S / JOB_INTERVAL_S) && k < LONG_JOBS; k++)
            w.abort_job(job_id(900 + k));
    }
    pass(END_S);
    int done = count_done(w);
    std::unique_lock<std::mutex> guard(w.lock);
    printf(
        "copies %d, refused %d, attempts begun by them %d, tasks that failed once %zu, "
        "jobs done %d of %d\n",
        copies.delivered, copies.refused, copies.begun, failed.size(), done,
        SMALL_JOBS + WAVES);
    for (auto &rule : w.broken)
        printf("%s: %d times\n", rule.first.c_str(), rule.second);
    bool is_broken = !w.broken.empty() || copies.begun > 0;
    guard.unlock();
    if (done < SMALL_JOBS + WAVES)
        c.end(2, "not all jobs were done");
    c.end(is_broken, is_broken ? "a copy began an attempt, or a rule was broken"
                               : "no copy began an attempt");
}
