// Stand-ins for what surrounds the controllers: the state service, the cloud, workers and
// users, all after PROTOCOL-lemonspar.md, and the start and end of controller processes.
// One mutex, `lock`, guards everything here but the sockets.
#pragma once
#include "http.hpp"

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <sys/wait.h>

// --- settings of the site ---

struct MachineType {
    std::string name;
    double cpus, memory_gb, price, spot_price, cache_gb, fetch_gb_per_s, boot_s;
    std::vector<std::string> zones;
};

struct Team {
    std::string name;
    double cpus, cpus_max;
};

struct Site {
    std::vector<std::string> zones = {"a"}; // of the controllers, in turn
    int controllers = 3;
    double report_s = 1.5, lease_s = 10, cancel_s = 35;
    double rps = 150, write_rps = 50, value_kb = 16;
    int txn_ops = 12;
    double cloud_rps = 2, list_lag_s = 4;
    double cores = 0.12, memory_mb = 72;
    int max_connections = 1200;
    std::vector<MachineType> types;
    std::vector<Team> teams;
};

// --- the record ---

inline FILE *record_file = nullptr;
inline std::mutex record_lock;

inline void record(const char *format, ...)
{
    std::lock_guard<std::mutex> guard(record_lock);
    va_list args;
    va_start(args, format);
    fprintf(record_file, "%8.3f ", now());
    vfprintf(record_file, format, args);
    fputc('\n', record_file);
    fflush(record_file);
    va_end(args);
}

// --- what is shared ---

struct Task {
    std::string job;
    uint64_t index = 0, attempt = 0;
    std::string state, why;
    bool saved = false, on_machine = false;
    double since = 0, started_at = 0, save_s = 0;
    std::string name() const
    {
        return job + "/" + std::to_string(index);
    }
};

struct Job {
    Value spec;
    double run_s = 5;                     // true run time of a task
    std::map<uint64_t, double> run_times; // of tasks that take another time
    bool cancel_asked = false;
    double accepted_at = -1, cancelled_at = -1, done_at = -1;
    std::string last_told;
};

struct World;

struct Worker {
    World *world = nullptr;
    std::string name, type, zone;
    bool spot = false;
    int port = 0, listener = -1;
    uint64_t session = 1, seq = 0, token = 0;
    std::vector<Task> tasks;
    std::map<std::string, double> images; // ready at
    double lease_from = 0;                // when the last answered report was sent
    bool changed = true, gone = false, frozen = false;
    bool mute = false; // reaches no controller
    int node = 0;
    double notice_until = -1;
};

struct Machine {
    std::string name, type, zone, reservation;
    bool spot = false, failed = false;
    double rented_at = 0, up_at = 0, gone_at = -1, failed_at = -1;
    std::shared_ptr<Worker> worker;
};

struct Item {
    Value value;
    uint64_t revision = 0, lease = 0;
};

struct Change {
    uint64_t revision;
    std::string key;
    bool removed;
    Value value;
};

struct Controller {
    std::string name, zone, config, log;
    int client_port = 0, internal_port = 0, state_port = 0, cloud_port = 0;
    pid_t pid = -1;
    bool ready = false;
    int good = 0, bad = 0;
    bool was_ready = false;
    // State service towards this controller: 0 serves, 1 refuses with 503, 2 is silent.
    int state_mode = 0;
    // Share of this controller's transactions that get no answer and are carried out
    // late.
    double late_share = 0;
    double state_latency_s = 0.003;
};

struct World {
    Site site;
    std::mutex lock;
    std::condition_variable changed;
    std::mt19937 random{1};
    std::string folder;  // for settings and logs
    std::string program; // the run entry of the deploy file, split at its space
    std::vector<Controller> controllers;

    // State service
    std::map<std::string, Item> items;
    std::deque<Change> changes;
    uint64_t revision = 0, last_lease = 0;
    struct Lease {
        double ttl_s, ends_at;
        bool lost = false;
    };
    std::map<uint64_t, Lease> leases;
    bool outage = false;
    double request_tokens = 0, write_tokens = 0, tokens_at = 0;
    int throttled = 0;

    // Cloud
    std::vector<std::shared_ptr<Machine>> machines;
    std::map<std::string, std::vector<std::string>> reservations;
    bool cloud_outage = false;
    double cloud_tokens = 0, cloud_tokens_at = 0;
    int rental_requests = 0;
    std::function<int(const std::string &, const std::string &, bool)> capacity;
    double boot_s = -1; // if not negative: instead of each type's own

    // Jobs and the rules
    std::map<std::string, Job> jobs;
    std::map<std::string, std::set<std::string>> places; // task: machines that it is on
    std::set<std::string> done_tasks;
    std::map<std::string, int> broken;
    int starts = 0;
    bool ending = false;

    double uniform(double a, double b)
    {
        return std::uniform_real_distribution<double>(a, b)(random);
    }

    void rule_broken(const std::string &rule, const std::string &what)
    {
        if (ending)
            return;
        broken[rule]++;
        record("RULE %s: %s", rule.c_str(), what.c_str());
    }

    // ----- state service -----

    bool take_tokens(double requests, double writes)
    {
        double t = now();
        request_tokens = std::min(site.rps, request_tokens + (t - tokens_at) * site.rps);
        write_tokens =
            std::min(site.write_rps, write_tokens + (t - tokens_at) * site.write_rps);
        tokens_at = t;
        if (request_tokens < requests || write_tokens < writes) {
            throttled++;
            return false;
        }
        request_tokens -= requests;
        write_tokens -= writes;
        return true;
    }

    void apply_change(const std::string &key, bool remove, const Value &value,
                      uint64_t lease)
    {
        if (remove) {
            if (!items.count(key))
                return;
            items.erase(key);
        } else {
            items[key] = {value, revision, lease};
        }
        changes.push_back({revision, key, remove, value});
        if (changes.size() > 10000)
            changes.pop_front();
    }

    Response transaction(const Value &body)
    {
        Value failed = Value::list();
        for (auto &c : body["If"].items) {
            auto it = items.find(c["K"].text);
            uint64_t present = it == items.end() ? 0 : it->second.revision;
            if (present != c["Retouche"].count())
                failed.add(c["K"].text);
        }
        for (auto &op : body["Apply"].items) {
            if (op.has("Write") && op.has("Licence")) {
                auto l = leases.find(op["Licence"].count());
                if (l == leases.end())
                    return Response(400, Value::map().set("error", "no such lease"));
            }
            if (json(op["V"]).size() > site.value_kb * 1024)
                return Response(400, Value::map().set("error", "too large"));
        }
        if (body["Apply"].items.size() > (size_t)site.txn_ops ||
            body["If"].items.size() > 4 * (size_t)site.txn_ops ||
            json(body).size() > 64 * 1024)
            return Response(400, Value::map().set("error", "too large"));
        if (!failed.items.empty())
            return Response(409,
                            Value::map().set("failed", failed).set("Tour", revision));
        if (!body["Apply"].items.empty()) {
            revision++;
            for (auto &op : body["Apply"].items) {
                if (op.has("Write"))
                    apply_change(op["Write"].text, false, op["V"], op["Licence"].count());
                else
                    apply_change(op["Remove"].text, true, Value(), 0);
            }
            changed.notify_all();
        }
        return Response(200, Value::map().set("Tour", revision));
    }

    Response watch(const Request &r, Controller *from,
                   std::unique_lock<std::mutex> &guard)
    {
        std::string prefix = r.query.count("Under") ? r.query.at("Under") : "";
        uint64_t after = strtoull(r.query.at("After").c_str(), nullptr, 10);
        double wait_s =
            r.query.count("WaitMs") ? atof(r.query.at("WaitMs").c_str()) / 1000 : 0;
        double deadline = now() + wait_s;
        for (;;) {
            if (!outage && !from->state_mode) {
                if (!changes.empty() && changes.front().revision > after + 1 &&
                    after + 1 < changes.front().revision && changes.size() >= 10000)
                    return Response(410);
                Value events = Value::list();
                for (auto &c : changes) {
                    if (c.revision <= after ||
                        c.key.compare(0, prefix.size(), prefix) != 0)
                        continue;
                    Value e = Value::map();
                    if (c.removed)
                        e.set("Remove", c.key);
                    else
                        e.set("Write", c.key).set("V", c.value);
                    e.set("Retouche", c.revision);
                    events.add(e);
                }
                if (!events.items.empty() || now() >= deadline)
                    return Response(
                        200, Value::map().set("Tour", revision).set("Events", events));
            } else if (ending) {
                return Response::none();
            }
            double until = outage || from->state_mode ? now() + 0.1 : deadline;
            changed.wait_for(
                guard, std::chrono::duration<double>(std::max(until - now(), 0.001)));
        }
    }

    Response handle_state(const Request &r, size_t from_index)
    {
        std::unique_lock<std::mutex> guard(lock);
        Controller *from = &controllers[from_index];
        double latency = from->state_latency_s * uniform(0.6, 1.5);
        guard.unlock();
        pause_s(latency);
        guard.lock();
        if (from->state_mode == 2) {
            while (from->state_mode == 2 && !ending) {
                guard.unlock();
                pause_s(0.05);
                guard.lock();
            }
            return Response::none();
        }
        Value body;
        if (!r.body.empty() && !decode(r.body, body))
            return Response(400);
        bool is_watch = r.path == "/changes";
        if ((outage || from->state_mode) && !is_watch)
            return Response(503);
        if (!take_tokens(1, r.path == "/multi" ? (double)body["Apply"].items.size() : 0))
            return Response(429);
        if (is_watch) {
            if (outage || from->state_mode)
                return Response(503);
            return watch(r, from, guard);
        }
        if (r.path == "/multi") {
            if (from->late_share > 0 && !body["Apply"].items.empty() &&
                uniform(0, 1) < from->late_share) {
                double delay = uniform(2, 12);
                std::thread([this, body, delay] {
                    pause_s(delay);
                    std::lock_guard<std::mutex> g(lock);
                    if (!ending)
                        record("state: late transaction -> %d", transaction(body).status);
                }).detach();
                guard.unlock();
                pause_s(3);
                return Response::none();
            }
            return transaction(body);
        }
        if (r.path == "/store") {
            std::string prefix = r.query.count("Under") ? r.query.at("Under") : "";
            std::string after = r.query.count("After") ? r.query.at("After") : "";
            size_t limit = r.query.count("Limit")
                               ? strtoul(r.query.at("Limit").c_str(), nullptr, 10)
                               : 1000;
            limit = std::min(limit, (size_t)1000);
            Value pairs = Value::list();
            bool more = false;
            size_t bytes = 0;
            for (auto it = items.upper_bound(after); it != items.end(); ++it) {
                if (it->first.compare(0, prefix.size(), prefix) != 0)
                    continue;
                size_t size = json(it->second.value).size() + it->first.size() + 60;
                if (pairs.items.size() == limit || bytes + size > 500 * 1024) {
                    more = true;
                    break;
                }
                bytes += size;
                pairs.add(Value::map()
                              .set("K", it->first)
                              .set("V", it->second.value)
                              .set("Retouche", it->second.revision));
            }
            return Response(200, Value::map()
                                     .set("Pairs", pairs)
                                     .set("HasNext", more)
                                     .set("Tour", revision));
        }
        if (r.path.compare(0, 7, "/store/") == 0) {
            auto it = items.find(r.path.substr(7));
            if (it == items.end())
                return Response(404, Value::map().set("Tour", revision));
            Value v = Value::map();
            v.set("K", it->first)
                .set("V", it->second.value)
                .set("Retouche", it->second.revision);
            if (it->second.lease)
                v.set("Licence", it->second.lease);
            return Response(200, v);
        }
        if (r.path == "/holds") {
            double ttl = body["TtlMs"].number() / 1000;
            leases[++last_lease] = {ttl, now() + ttl};
            return Response(200, Value::map().set("Licence", last_lease));
        }
        if (r.path.compare(0, 7, "/holds/") == 0) {
            uint64_t id = strtoull(r.path.c_str() + 7, nullptr, 10);
            auto it = leases.find(id);
            if (it == leases.end())
                return Response(404);
            if (r.method == "DELETE")
                end_lease(id);
            else
                it->second.ends_at = now() + it->second.ttl_s;
            return Response(200, Value::map().set("Licence", id));
        }
        return Response(400);
    }

    void end_lease(uint64_t id)
    {
        std::vector<std::string> keys;
        for (auto &i : items)
            if (i.second.lease == id)
                keys.push_back(i.first);
        leases.erase(id);
        if (!keys.empty())
            revision++;
        for (auto &k : keys)
            apply_change(k, true, Value(), 0);
        changed.notify_all();
    }

    void set_outage(bool on)
    {
        std::lock_guard<std::mutex> guard(lock);
        outage = on;
        for (auto &l : leases)
            l.second.ends_at = now() + l.second.ttl_s;
        record("state service: %s", on ? "outage begins" : "outage ends");
        changed.notify_all();
    }

    // ----- cloud -----

    const MachineType *type_of(const std::string &name) const
    {
        for (auto &t : site.types)
            if (t.name == name)
                return &t;
        return nullptr;
    }

    std::shared_ptr<Machine> rent(const std::string &type, const std::string &zone,
                                  bool spot, double boot)
    {
        auto m = std::make_shared<Machine>();
        char name[32];
        snprintf(name, sizeof name, "host-%06zu", machines.size() + 1);
        m->name = name;
        m->type = type;
        m->zone = zone;
        m->spot = spot;
        m->rented_at = now();
        m->up_at = now() + boot;
        machines.push_back(m);
        record("cloud: rents %s type=%s zone=%s spot=%d", name, type.c_str(),
               zone.c_str(), spot);
        return m;
    }

    Response handle_cloud(const Request &r)
    {
        pause_s(0.05);
        std::unique_lock<std::mutex> guard(lock);
        Value body;
        if (!r.body.empty() && !decode(r.body, body))
            return Response(400);
        double t = now();
        cloud_tokens = std::min(2 * site.cloud_rps,
                                cloud_tokens + (t - cloud_tokens_at) * site.cloud_rps);
        cloud_tokens_at = t;
        if (cloud_tokens < 1)
            return Response(429);
        cloud_tokens--;
        if (cloud_outage)
            return Response(503, Value::map().set("error", "trouble"));
        if (r.path == "/machine_types") {
            Value types = Value::list();
            for (auto &m : site.types) {
                Value zones = Value::list();
                for (auto &z : m.zones)
                    zones.add(z);
                types.add(Value::map()
                              .set("Sku", m.name)
                              .set("Cpus", m.cpus)
                              .set("Gpus", 0.0)
                              .set("MemGb", m.memory_gb)
                              .set("CacheGb", m.cache_gb)
                              .set("PullGbPerS", m.fetch_gb_per_s)
                              .set("Rate", m.price)
                              .set("SpotPrice", m.spot_price)
                              .set("ReadyS", m.boot_s)
                              .set("Secteurs", zones));
            }
            return Response(200, Value::map().set("GabaritsMachine", types));
        }
        if (r.path == "/hosts" && r.method == "POST") {
            std::string id = body["Reservation"].text, type = body["GabaritMachine"].text;
            std::string zone = body["Secteur"].text;
            bool spot = body["TaxiLibre"].truth;
            uint64_t count = body["HowMany"].count();
            const MachineType *m = type_of(type);
            if (id.empty() || !m || !count || count > 50)
                return Response(400);
            rental_requests++;
            record("cloud: request %s type=%s zone=%s spot=%d count=%llu", id.c_str(),
                   type.c_str(), zone.c_str(), spot, (unsigned long long)count);
            if (!reservations.count(id)) {
                int room = capacity ? capacity(type, zone, spot) : 50;
                std::vector<std::string> names;
                for (uint64_t i = 0; i < count && (int)i < room; i++)
                    names.push_back(
                        rent(type, zone, spot,
                             (boot_s >= 0 ? boot_s : m->boot_s) * uniform(0.6, 1.5))
                            ->name);
                if (names.empty())
                    return Response(503, Value::map().set("error", "no capacity"));
                reservations[id] = names;
            }
            Value list = Value::list();
            for (auto &n : reservations[id])
                list.add(n);
            return Response(200, Value::map().set("Flotte", list));
        }
        if (r.path == "/hosts/return") {
            for (auto &n : body["Flotte"].items)
                for (auto &m : machines)
                    if (m->name == n.text && m->gone_at < 0) {
                        record("cloud: %s is returned", m->name.c_str());
                        m->gone_at = now();
                        end_worker(*m);
                    }
            return Response(200);
        }
        if (r.path == "/hosts") {
            std::string after = r.query.count("After") ? r.query.at("After") : "";
            size_t limit = r.query.count("Limit")
                               ? strtoul(r.query.at("Limit").c_str(), nullptr, 10)
                               : 500;
            double as_of = now() - site.list_lag_s;
            Value list = Value::list();
            bool more = false;
            for (auto &m : machines) {
                if (m->name <= after || m->rented_at > as_of ||
                    (m->gone_at >= 0 && m->gone_at <= as_of))
                    continue;
                if (list.items.size() == limit) {
                    more = true;
                    break;
                }
                bool up = m->up_at <= as_of;
                Value v = Value::map();
                v.set("Ref", m->name)
                    .set("Endpoint",
                         "127.0.0.1:" + std::to_string(m->worker ? m->worker->port : 1))
                    .set("GabaritMachine", m->type)
                    .set("Secteur", m->zone)
                    .set("TaxiLibre", m->spot)
                    .set("Etat", m->failed_at >= 0 && m->failed_at + 30 <= as_of
                                     ? "failed"
                                 : up ? "running"
                                      : "starting")
                    .set("AgeS", as_of - m->rented_at);
                list.add(v);
            }
            return Response(200, Value::map().set("Flotte", list).set("HasNext", more));
        }
        return Response(400);
    }

    // ----- workers -----

    std::string place_key(const Task &t) const
    {
        return t.name();
    }

    void enter_machine(Worker &w, Task &t)
    {
        if (t.on_machine)
            return;
        t.on_machine = true;
        auto &p = places[place_key(t)];
        if (!p.empty())
            rule_broken("ran_twice", t.name() + " starts on " + w.name +
                                         " while it is on " + *p.begin());
        p.insert(w.name);
        starts++;
        Job &job = jobs[t.job];
        record("worker %s: %s attempt %llu is on the machine", w.name.c_str(),
               t.name().c_str(), (unsigned long long)t.attempt);
        if (job.cancelled_at >= 0 && now() > job.cancelled_at + site.cancel_s)
            rule_broken("ran_cancelled", t.name() + " starts after its cancellation");
        const Value &spec = job.spec;
        if ((spec.has("Secteur") && spec["Secteur"].text != w.zone) ||
            (w.spot && !spec["TaxiLibre"].truth))
            rule_broken("wrong_place", t.name() + " on " + w.name);
        if (spec.has("GabaritsMachine")) {
            bool allowed = false;
            for (auto &g : spec["GabaritsMachine"].items)
                allowed = allowed || g.text == w.type;
            if (!allowed)
                rule_broken("wrong_place", t.name() + " on a machine of type " + w.type);
        }
        // Places of the job's other tasks.
        std::map<std::string, int> zones;
        for (auto &m : machines)
            if (m->worker && !m->worker->gone)
                for (auto &other : m->worker->tasks)
                    if (other.job == t.job && other.on_machine)
                        zones[m->zone]++;
        if (spec["SamePlace"].truth && zones.size() > 1)
            rule_broken("wrong_place",
                        t.name() + ": the job's tasks are in several zones");
        if (spec["Apart"].truth &&
            zones[w.zone] > (int)((spec["Courses"].count() + 1) / 2))
            rule_broken("wrong_place", t.name() + ": too many tasks in one zone");
        check_quota(spec["Equipe"].text);
    }

    void check_quota(const std::string &team)
    {
        double used = 0;
        for (auto &m : machines)
            if (m->worker)
                for (auto &t : m->worker->tasks)
                    if (t.on_machine && jobs[t.job].spec["Equipe"].text == team)
                        used += jobs[t.job].spec["Cpus"].number();
        for (auto &t : site.teams)
            if (t.name == team && t.cpus_max > 0 && used > t.cpus_max + 1e-6)
                rule_broken("quota", team + " uses " + std::to_string(used));
    }

    void leave_machine(Worker &w, Task &t)
    {
        if (!t.on_machine)
            return;
        t.on_machine = false;
        places[place_key(t)].erase(w.name);
    }

    void end_task(Worker &w, Task &t, const char *why)
    {
        leave_machine(w, t);
        t.state = "ended";
        t.why = why;
        w.changed = true;
        record("worker %s: %s attempt %llu ends: %s", w.name.c_str(), t.name().c_str(),
               (unsigned long long)t.attempt, why);
    }

    void end_worker(Machine &m)
    {
        if (!m.worker)
            return;
        Worker &w = *m.worker;
        w.gone = true;
        for (auto &t : w.tasks)
            leave_machine(w, t);
        w.tasks.clear();
        if (w.listener >= 0) {
            shutdown(w.listener, SHUT_RDWR);
            close(w.listener);
        }
        w.listener = -1;
    }

    Value report(Worker &w)
    {
        Value tasks = Value::list(), v = Value::map();
        for (auto &t : w.tasks) {
            Value e = Value::map();
            e.set("Course", t.name()).set("Essai", t.attempt).set("Etat", t.state);
            if (t.state == "ended") {
                e.set("Motif", t.why);
                if (t.why == "stopped" && t.saved)
                    e.set("Saved", true);
            }
            tasks.add(e);
        }
        v.set("Voiture", w.name)
            .set("Endpoint", "127.0.0.1:" + std::to_string(w.port))
            .set("GabaritMachine", w.type)
            .set("Secteur", w.zone)
            .set("TaxiLibre", w.spot)
            .set("Service", w.session)
            .set("Compteur", ++w.seq)
            .set("Jeton", w.token)
            .set("PreavisS", w.notice_until >= 0
                                 ? Value(std::max(w.notice_until - now(), 0.0))
                                 : Value())
            .set("Courses", tasks);
        return v;
    }

    void execute(Worker &w, const Value &orders)
    {
        for (auto &o : orders.items) {
            std::string task = o["Course"].text;
            size_t slash = task.rfind('/');
            std::string job = task.substr(0, slash);
            uint64_t index = strtoull(task.c_str() + slash + 1, nullptr, 10);
            uint64_t attempt = o["Essai"].count();
            Task *found = nullptr;
            bool other_attempt = false;
            for (auto &t : w.tasks) {
                if (t.job != job || t.index != index)
                    continue;
                if (t.attempt == attempt)
                    found = &t;
                else if (t.state != "ended")
                    other_attempt = true;
            }
            std::string op = o["Ordre"].text;
            if (op == "start" && !found) {
                Task t;
                t.job = job;
                t.index = index;
                t.attempt = attempt;
                t.since = now();
                t.state = "fetching";
                auto j = jobs.find(job);
                record("worker %s: start %s attempt %llu", w.name.c_str(), task.c_str(),
                       (unsigned long long)attempt);
                w.changed = true;
                if (j == jobs.end() || index >= j->second.spec["Courses"].count()) {
                    t.state = "ended", t.why = "no_such";
                } else if (other_attempt) {
                    t.state = "ended", t.why = "busy";
                } else {
                    double cpus = 0, memory = 0;
                    for (auto &u : w.tasks)
                        if (u.state != "ended") {
                            cpus += jobs[u.job].spec["Cpus"].number();
                            memory += jobs[u.job].spec["MemGb"].number();
                        }
                    const MachineType *m = type_of(w.type);
                    const Value &s = j->second.spec;
                    if (cpus + s["Cpus"].number() > m->cpus + 1e-6 ||
                        memory + s["MemGb"].number() > m->memory_gb + 1e-6)
                        t.state = "ended", t.why = "no_room";
                }
                w.tasks.push_back(t);
                advance_task(w, w.tasks.back());
            } else if (op == "kill" && found && found->state != "ended") {
                const Value &s = jobs[job].spec;
                double grace = o["SursisS"].number();
                bool can_save =
                    s["RelaisS"].number() > 0 && grace >= s["DepotS"].number();
                record("worker %s: kill %s attempt %llu grace %.1f", w.name.c_str(),
                       task.c_str(), (unsigned long long)attempt, grace);
                if (found->state == "running" && can_save) {
                    found->state = "saving";
                    found->since = now();
                    w.changed = true;
                } else if (found->state != "saving" || grace <= 0) {
                    end_task(w, *found, "stopped");
                }
            } else if (op == "clear" && found && found->state == "ended") {
                w.tasks.erase(w.tasks.begin() + (found - &w.tasks[0]));
            }
        }
    }

    // Lets a task go on: fetched, done, saved.
    void advance_task(Worker &w, Task &t)
    {
        double at = now();
        Job &job = jobs[t.job];
        if (t.state == "fetching") {
            std::string image = job.spec["Gabarit"].text;
            if (!w.images.count(image)) {
                const MachineType *m = type_of(w.type);
                w.images[image] = at + job.spec["SizeGb"].number() / m->fetch_gb_per_s;
            }
            if (at < w.images[image])
                return;
            t.state = "running";
            t.started_at = at;
            w.changed = true;
            enter_machine(w, t);
            if (done_tasks.count(t.name()))
                end_task(w, t, "done");
        } else if (t.state == "running") {
            auto other = job.run_times.find(t.index);
            double run_s = other == job.run_times.end() ? job.run_s : other->second;
            if (job.spec["Sorte"].text == "batch" && at - t.started_at >= run_s) {
                done_tasks.insert(t.name());
                end_task(w, t, "done");
            }
        } else if (t.state == "saving" && at - t.since >= job.spec["DepotS"].number()) {
            t.saved = true;
            end_task(w, t, "stopped");
        }
    }

    void check_lease(Worker &w)
    {
        if (now() - w.lease_from <= site.lease_s)
            return;
        if (!w.tasks.empty())
            record("worker %s: lease ends in session %llu with %zu tasks", w.name.c_str(),
                   (unsigned long long)w.session, w.tasks.size());
        for (auto &t : w.tasks)
            leave_machine(w, t);
        w.tasks.clear();
        w.session++;
        w.lease_from = now();
        w.changed = true;
    }

    std::function<Response(Worker &, const Request &)> on_command; // may delay or drop

    Response handle_worker(std::shared_ptr<Worker> w, const Request &r)
    {
        Value body;
        if (!r.body.empty() && !decode(r.body, body))
            return Response(400);
        if (on_command) {
            Response answer = on_command(*w, r);
            if (answer.drop)
                return answer;
        }
        std::unique_lock<std::mutex> guard(lock);
        while (w->frozen && !w->gone && !ending) {
            guard.unlock();
            pause_s(0.02);
            guard.lock();
        }
        if (w->gone || ending)
            return Response::none();
        check_lease(*w);
        size_t size = body.kind == Value::Null ? 0 : json(body).size();
        if (size > 64 * 1024 && size > largest_command)
            record("worker %s: a command of %zu bytes as JSON", w->name.c_str(), size);
        largest_command = std::max(largest_command, size);
        if (r.path == "/show")
            return Response(200, report(*w));
        if (r.path != "/do")
            return Response(404);
        if (!body.has("Jeton") || !body.has("Service"))
            return Response(400);
        if (body["Jeton"].count() < w->token || body["Service"].count() != w->session)
            return Response(409, report(*w));
        if (body["Jeton"].count() > w->token)
            w->changed = true;
        w->token = body["Jeton"].count();
        execute(*w, body["Ordres"]);
        return Response(200, report(*w));
    }

    void boot(std::shared_ptr<Machine> m)
    {
        auto w = std::make_shared<Worker>();
        w->world = this;
        w->name = m->name;
        w->type = m->type;
        w->zone = m->zone;
        w->spot = m->spot;
        w->lease_from = now();
        w->node = (int)(random() % controllers.size());
        int port = w->port = free_port();
        serve(
            port, [this, w](const Request &r) { return handle_worker(w, r); },
            &w->listener);
        m->worker = w;
        record("worker %s: up", w->name.c_str());
        std::thread([this, w] { report_loop(w); }).detach();
    }

    // Sizes as JSON, in which the page counts its limit of 64 KiB for a body.
    size_t largest_report = 0, largest_answer = 0, largest_command = 0;
    int unsent_reports = 0;

    void report_loop(std::shared_ptr<Worker> w)
    {
        double next_at = now() + 0.1;
        std::unique_lock<std::mutex> guard(lock);
        double last_sent = -10;
        for (;;) {
            if (w->gone || ending)
                return;
            bool due = now() >= next_at || (w->changed && now() - last_sent >= 0.5);
            if (!due || w->frozen) {
                guard.unlock();
                pause_s(0.01);
                guard.lock();
                continue;
            }
            check_lease(*w);
            uint64_t session = w->session;
            Value body = report(*w), answer;
            w->changed = false;
            size_t report_size = json(body).size();
            largest_report = std::max(largest_report, report_size);
            int node = w->node;
            bool mute = w->mute;
            int port = controllers[(size_t)node].client_port;
            double sent_at = now();
            last_sent = sent_at;
            next_at = sent_at + site.report_s * uniform(0.75, 1.25);
            // A request body may be at most 64 KiB: such a report can't be sent.
            if (report_size > 64 * 1024) {
                if (!unsent_reports++)
                    record("worker %s: a report of %zu bytes as JSON can't be sent",
                           w->name.c_str(), report_size);
                continue;
            }
            guard.unlock();
            int status = NO_CONNECTION;
            if (mute)
                pause_s(1.5);
            else
                status = call(port, "POST", "/hello", &body, 4, &answer);
            guard.lock();
            if (w->gone || ending)
                return;
            while (w->frozen && !ending && !w->gone) {
                guard.unlock();
                pause_s(0.02);
                guard.lock();
                if (now() - sent_at > 4)
                    status = NO_RESPONSE;
            }
            check_lease(*w);
            if (status == 200) {
                size_t answer_size = json(answer).size();
                if (answer_size > 64 * 1024 && answer_size > largest_answer)
                    record("worker %s: an answer of %zu bytes as JSON", w->name.c_str(),
                           answer_size);
                largest_answer = std::max(largest_answer, answer_size);
                if (w->session != session || !answer.has("Jeton") ||
                    answer["Jeton"].count() < w->token)
                    continue;
                if (answer["Jeton"].count() > w->token)
                    w->changed = true;
                w->token = answer["Jeton"].count();
                w->lease_from = sent_at;
                execute(*w, answer["Ordres"]);
            } else if (status == 421 && answer.has("Centrale")) {
                int target = -1;
                for (size_t i = 0; i < controllers.size(); i++)
                    if (controllers[i].name == answer["Centrale"].text)
                        target = (int)i;
                if (target >= 0 && target != node) {
                    w->node = target;
                    next_at = now() + uniform(0, 0.3);
                } else {
                    w->node = (node + 1) % (int)controllers.size();
                    next_at = now() + 1;
                }
            } else {
                w->node = (node + 1) % (int)controllers.size();
                next_at = now() + 1;
                w->changed = false;
            }
        }
    }

    // Runs forever: boots, tasks, leases.
    void tick_loop()
    {
        for (;;) {
            pause_s(0.02);
            std::lock_guard<std::mutex> guard(lock);
            if (ending)
                return;
            for (size_t i = 0; i < machines.size(); i++) {
                auto m = machines[i];
                if (!m->worker && m->gone_at < 0 && now() >= m->up_at)
                    boot(m);
                if (!m->worker || m->worker->gone || m->worker->frozen)
                    continue;
                check_lease(*m->worker);
                for (size_t k = 0; k < m->worker->tasks.size(); k++)
                    advance_task(*m->worker, m->worker->tasks[k]);
            }
            for (auto &j : jobs) {
                Job &job = j.second;
                if (job.cancelled_at < 0 || now() < job.cancelled_at + site.cancel_s)
                    continue;
                for (auto &p : places)
                    if (!p.second.empty() &&
                        p.first.compare(0, j.first.size() + 1, j.first + "/") == 0) {
                        rule_broken("ran_cancelled", p.first + " is still on a machine");
                        job.cancelled_at = now() + 1e6;
                        break;
                    }
            }
            if (!outage)
                for (auto it = leases.begin(); it != leases.end();) {
                    uint64_t id = it->first;
                    bool over = now() > it->second.ends_at + 0.02;
                    ++it;
                    if (over)
                        end_lease(id);
                }
        }
    }

    // The machine stops with all that is on it; the cloud lists it as running for 30 s
    // more.
    void machine_dies(const std::string &name)
    {
        std::lock_guard<std::mutex> guard(lock);
        for (auto &m : machines)
            if (m->name == name && m->gone_at < 0) {
                record("machine %s stops with all that is on it", name.c_str());
                end_worker(*m);
                m->failed_at = now();
            }
    }

    // The cloud takes a spot machine back, without notice.
    void machine_taken(const std::string &name)
    {
        std::lock_guard<std::mutex> guard(lock);
        for (auto &m : machines)
            if (m->name == name && m->gone_at < 0) {
                record("cloud: takes %s back without notice", name.c_str());
                end_worker(*m);
                m->gone_at = now();
            }
    }

    // ----- the rule on waiting jobs -----

    // more/hunt/LATER.md: "Once the troubles are over, no job is left waiting for 90 s
    // while a machine that fits has room and its team is under its limit." Called every
    // second or so from the end of the troubles on; the lock is held.
    std::map<std::string, double> waiting_since;
    std::map<std::string, double> longest_wait;

    bool has_place(const Job &job)
    {
        const Value &s = job.spec;
        double used = 0, limit = 0;
        for (auto &t : site.teams)
            if (t.name == s["Equipe"].text)
                limit = t.cpus_max;
        for (auto &m : machines)
            if (m->worker)
                for (auto &t : m->worker->tasks)
                    if (t.state != "ended" &&
                        jobs[t.job].spec["Equipe"].text == s["Equipe"].text)
                        used += jobs[t.job].spec["Cpus"].number();
        if (limit > 0 && used + s["Cpus"].number() > limit)
            return false;
        for (auto &m : machines) {
            if (!m->worker || m->worker->gone || m->worker->frozen ||
                m->worker->token == 0 || (m->spot && !s["TaxiLibre"].truth) ||
                (s.has("Secteur") && s["Secteur"].text != m->zone))
                continue;
            bool allowed = !s.has("GabaritsMachine");
            for (auto &g : s["GabaritsMachine"].items)
                allowed = allowed || g.text == m->type;
            const MachineType *type = type_of(m->type);
            double cpus = type->cpus, memory = type->memory_gb;
            for (auto &t : m->worker->tasks)
                if (t.state != "ended") {
                    cpus -= jobs[t.job].spec["Cpus"].number();
                    memory -= jobs[t.job].spec["MemGb"].number();
                }
            if (allowed && cpus >= s["Cpus"].number() && memory >= s["MemGb"].number())
                return true;
        }
        return false;
    }

    // Whether a task of the job is on no machine, in no state but ended, and not done.
    bool has_waiting_task(const std::string &id, const Job &job)
    {
        for (uint64_t i = 0; i < job.spec["Courses"].count(); i++) {
            std::string name = id + "/" + std::to_string(i);
            if (done_tasks.count(name))
                continue;
            bool found = false;
            for (auto &m : machines)
                if (m->worker)
                    for (auto &t : m->worker->tasks)
                        found = found || (t.state != "ended" && t.name() == name);
            if (!found)
                return true;
        }
        return false;
    }

    void check_waiting()
    {
        for (auto &j : jobs) {
            const Job &job = j.second;
            bool waits = job.accepted_at >= 0 && !job.cancel_asked &&
                         has_waiting_task(j.first, job) && has_place(job);
            if (!waits) {
                waiting_since.erase(j.first);
                continue;
            }
            if (!waiting_since.count(j.first))
                waiting_since[j.first] = now();
            double s = now() - waiting_since[j.first];
            bool over = s >= 90 && longest_wait[j.first] < 90;
            longest_wait[j.first] = std::max(longest_wait[j.first], s);
            if (over)
                rule_broken("waiting",
                            j.first + " has waited for 90 s while a machine that fits "
                                      "has room and its team is under its limit");
        }
    }

    // ----- controllers -----

    void write_settings(Controller &c)
    {
        std::ofstream f(c.config);
        auto text = [](const std::string &s) { return "\"" + s + "\""; };
        f << "host_name = " << text(c.name) << "\narea = " << text(c.zone)
          << "\nclient_listen = " << text("127.0.0.1:" + std::to_string(c.client_port))
          << "\ninternal_addr = " << text("127.0.0.1:" + std::to_string(c.internal_port))
          << "\n";
        for (auto &m : controllers)
            if (m.name != c.name)
                f << "\n[[members]]\nhost_name = " << text(m.name)
                  << "\narea = " << text(m.zone) << "\naddress = "
                  << text("127.0.0.1:" + std::to_string(m.internal_port)) << "\n";
        f << "\n[outside]\ncloud = " << text("127.0.0.1:" + std::to_string(c.cloud_port))
          << "\nstate = " << text("127.0.0.1:" + std::to_string(c.state_port))
          << "\n\n[params]\ninitial_size = " << controllers.size() << "\nzones = [";
        for (size_t i = 0; i < site.zones.size(); i++)
            f << (i ? ", " : "") << text(site.zones[i]);
        f << "]\ntime_bound_ms = 100.0\n";
        for (auto &t : site.teams)
            f << "\n[[params.teams]]\nname = " << text(t.name) << "\ncpus = " << t.cpus
              << "\ncpus_max = " << t.cpus_max << "\ngpus = 0.0\ngpus_max = 0.0\n";
        f << "\n[params.workers]\nreport_s = " << site.report_s
          << "\nlease_s = " << site.lease_s
          << "\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = " << site.cancel_s
          << "\n\n[params.state]\nrps = " << site.rps
          << "\nwrite_rps = " << site.write_rps << "\nvalue_kb = " << site.value_kb
          << "\ntxn_ops = " << site.txn_ops
          << "\n\n[params.cloud]\nrps = " << site.cloud_rps
          << "\nlist_lag_s = " << site.list_lag_s
          << "\n\n[params.resources]\ncores = " << site.cores
          << "\nmemory_mb = " << site.memory_mb
          << "\nmax_connections = " << site.max_connections << "\n";
    }

    void start_controller(size_t i)
    {
        std::lock_guard<std::mutex> guard(lock);
        Controller &c = controllers[i];
        std::vector<std::string> words;
        std::istringstream in(program);
        for (std::string w; in >> w;)
            words.push_back(w);
        words.push_back(c.config);
        std::vector<char *> argv;
        for (auto &w : words)
            argv.push_back((char *)w.c_str());
        argv.push_back(nullptr);
        int log = open(c.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        pid_t pid = fork();
        if (pid == 0) {
            dup2(log, 1);
            dup2(log, 2);
            execv(argv[0], argv.data());
            _exit(127);
        }
        close(log);
        c.pid = pid;
        // run.sh ends what this process leaves behind.
        std::ofstream(folder + "/pids", std::ios::app) << pid << "\n";
        record("controller %s: started", c.name.c_str());
    }

    void kill_controller(size_t i)
    {
        pid_t pid;
        {
            std::lock_guard<std::mutex> guard(lock);
            pid = controllers[i].pid;
            controllers[i].pid = -1;
            controllers[i].ready = false;
        }
        if (pid <= 0)
            return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        record("controller %s: killed", controllers[i].name.c_str());
    }

    void signal_controller(size_t i, int signal)
    {
        if (controllers[i].pid > 0)
            kill(controllers[i].pid, signal);
        record("controller %s: %s", controllers[i].name.c_str(),
               signal == SIGSTOP   ? "stands still"
               : signal == SIGCONT ? "goes on"
                                   : "signal");
    }

    // Controllers that ended by themselves: true if one did.
    bool any_ended()
    {
        std::lock_guard<std::mutex> guard(lock);
        bool any = false;
        for (auto &c : controllers) {
            int status;
            if (c.pid > 0 && waitpid(c.pid, &status, WNOHANG) == c.pid) {
                record("controller %s: ENDED BY ITSELF, status %d", c.name.c_str(),
                       status);
                c.pid = -1;
                any = true;
            }
        }
        return any;
    }

    // The load balancer's probes.
    void probe_loop(size_t i)
    {
        for (;;) {
            pause_s(1);
            int status =
                call(controllers[i].client_port, "GET", "/ready", nullptr, 1, nullptr);
            std::lock_guard<std::mutex> guard(lock);
            Controller &c = controllers[i];
            if (ending)
                return;
            c.good = status == 200 ? c.good + 1 : 0;
            c.bad = status == 200 ? 0 : c.bad + 1;
            if (c.bad >= 2)
                c.ready = false;
            else if (c.good >= 2 || (c.good && !c.was_ready))
                c.ready = c.was_ready = true;
        }
    }

    void start_services()
    {
        serve_all();
        for (size_t i = 0; i < controllers.size(); i++)
            start_controller(i);
        for (size_t i = 0; i < controllers.size(); i++)
            std::thread([this, i] { probe_loop(i); }).detach();
    }

    void serve_all()
    {
        request_tokens = site.rps;
        write_tokens = site.write_rps;
        cloud_tokens = 2 * site.cloud_rps;
        controllers.resize((size_t)site.controllers);
        for (size_t i = 0; i < controllers.size(); i++) {
            Controller &c = controllers[i];
            c.name = "poste-" + std::to_string(i);
            c.zone = site.zones[i % site.zones.size()];
            c.config = folder + "/" + c.name + ".toml";
            c.log = folder + "/" + c.name + ".log";
            c.client_port = free_port();
            c.internal_port = free_port();
            c.state_port = serve(
                free_port(), [this, i](const Request &r) { return handle_state(r, i); });
            c.cloud_port =
                serve(free_port(), [this](const Request &r) { return handle_cloud(r); });
        }
        for (auto &c : controllers)
            write_settings(c);
        std::thread([this] { tick_loop(); }).detach();
    }

    bool wait_ready(double timeout_s, size_t count)
    {
        double deadline = now() + timeout_s;
        while (now() < deadline) {
            size_t ready = 0;
            {
                std::lock_guard<std::mutex> guard(lock);
                for (auto &c : controllers)
                    ready += c.ready;
            }
            if (ready >= count)
                return true;
            pause_s(0.1);
        }
        return false;
    }

    void end_all()
    {
        {
            std::lock_guard<std::mutex> guard(lock);
            ending = true;
            changed.notify_all();
        }
        for (size_t i = 0; i < controllers.size(); i++) {
            if (controllers[i].pid > 0) {
                kill(controllers[i].pid, SIGKILL);
                waitpid(controllers[i].pid, nullptr, 0);
                controllers[i].pid = -1;
            }
        }
    }

    // ----- users -----

    int pick_node()
    {
        std::lock_guard<std::mutex> guard(lock);
        std::vector<int> ready;
        for (size_t i = 0; i < controllers.size(); i++)
            if (controllers[i].ready)
                ready.push_back((int)i);
        if (ready.empty())
            return -1;
        return ready[random() % ready.size()];
    }

    // Submits until it is accepted, refused, or 60 s are over. Returns the last status.
    int submit(const Value &spec, double run_s)
    {
        std::string id = spec["Ref"].text;
        {
            std::lock_guard<std::mutex> guard(lock);
            if (jobs[id].spec.kind == Value::Null) {
                jobs[id].spec = spec;
                jobs[id].run_s = run_s;
            }
        }
        double first = now();
        int status = NO_RESPONSE;
        while (now() - first < 60) {
            int node = pick_node();
            Value answer;
            if (node >= 0) {
                status = call(controllers[(size_t)node].client_port, "POST", "/v1/jobs",
                              &spec, 5, &answer);
                record("user: submits %s to %s -> %d %s", id.c_str(),
                       controllers[(size_t)node].name.c_str(), status,
                       json(answer).c_str());
                if (status == 201 || status == 200) {
                    std::lock_guard<std::mutex> guard(lock);
                    if (jobs[id].accepted_at < 0)
                        jobs[id].accepted_at = now();
                    break;
                }
                if (status == 400 || status == 422)
                    break;
            }
            pause_s(1);
        }
        return status;
    }

    // Asks once. Returns the status; *state is the job's state.
    int ask(const std::string &id, std::string *state, int node = -1,
            uint64_t *done = nullptr)
    {
        if (node < 0)
            node = pick_node();
        if (node < 0)
            return NO_CONNECTION;
        Value answer;
        std::string told;
        {
            std::lock_guard<std::mutex> guard(lock);
            told = jobs[id].last_told;
        }
        int status = call(controllers[(size_t)node].client_port, "GET", "/v1/jobs/" + id,
                          nullptr, 2, &answer);
        *state = answer["Etat"].text;
        if (done)
            *done = answer["done"].count();
        std::lock_guard<std::mutex> guard(lock);
        Job &job = jobs[id];
        if (status == 404 && job.accepted_at >= 0)
            rule_broken("forgotten",
                        id + " gets 404 from " + controllers[(size_t)node].name);
        if (status == 200 && job.accepted_at < 0 && job.spec.kind == Value::Null)
            rule_broken("invented", id);
        if (status != 200)
            return status;
        if ((told == "done" || told == "withdrawn") && *state != told)
            rule_broken("went_back", id + " was " + told + " and is " + *state);
        if (*state == "withdrawn" && !job.cancel_asked)
            rule_broken("went_back", id + " is cancelled, and nobody asked for it");
        if (*state == "done")
            for (uint64_t i = 0; i < job.spec["Courses"].count(); i++)
                if (!done_tasks.count(id + "/" + std::to_string(i))) {
                    rule_broken("not_done", id);
                    break;
                }
        if (*state == "withdrawn" && job.cancelled_at < 0)
            job.cancelled_at = now();
        job.last_told = *state;
        return status;
    }

    // Cancels until an answer of 200, for 60 s at most. Returns the state that was told.
    std::string abort_job(const std::string &id)
    {
        {
            std::lock_guard<std::mutex> guard(lock);
            jobs[id].cancel_asked = true;
        }
        double first = now();
        while (now() - first < 60) {
            int node = pick_node();
            Value answer;
            int status = NO_CONNECTION;
            if (node >= 0)
                status = call(controllers[(size_t)node].client_port, "POST",
                              "/v1/jobs/" + id + "/abort", nullptr, 5, &answer);
            record("user: aborts %s -> %d %s", id.c_str(), status, json(answer).c_str());
            if (status == 200) {
                std::lock_guard<std::mutex> guard(lock);
                Job &job = jobs[id];
                if (answer["Etat"].text == "withdrawn" && job.cancelled_at < 0)
                    job.cancelled_at = now();
                if (job.last_told == "done" && answer["Etat"].text != "done")
                    rule_broken("went_back", id + " was done");
                job.last_told = answer["Etat"].text;
                return job.last_told;
            }
            pause_s(1);
        }
        return "";
    }
};

// A submission with all of its fields.
inline Value job_spec(const std::string &id, const std::string &team, uint64_t tasks,
                      double cpus, double memory_gb)
{
    Value v = Value::map();
    v.set("Ref", id)
        .set("Ligne", "batch")
        .set("Equipe", team)
        .set("Sorte", "batch")
        .set("Urgence", "normal")
        .set("Courses", tasks)
        .set("Cpus", cpus)
        .set("Gpus", 0.0)
        .set("MemGb", memory_gb)
        .set("Gabarit", "img-01")
        .set("SizeGb", 0.1)
        .set("GabaritsMachine", Value())
        .set("Secteur", Value())
        .set("SamePlace", false)
        .set("Apart", false)
        .set("TaxiLibre", false)
        .set("TrajetS", 10.0)
        .set("RelaisS", 0.0)
        .set("DepotS", 0.0)
        .set("EcheanceS", Value());
    return v;
}

// The `run` entry of the deploy file.
inline std::string run_entry(const std::string &file)
{
    std::ifstream f(file);
    std::string line;
    while (std::getline(f, line))
        if (line.compare(0, 5, "run =") == 0) {
            size_t a = line.find('"'), b = line.rfind('"');
            return line.substr(a + 1, b - a - 1);
        }
    return "";
}
