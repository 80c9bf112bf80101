// The one C++ file: libtomlplusplus, since Debian packages no C library for TOML.
#include "config/config.h"
#include "config/settings.h"

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <toml++/toml.h>

namespace
{

struct wrong : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void text(const toml::table &t, const std::string &at, const char *key, char *out,
          size_t len, bool required = true)
{
    auto v = t[key];
    if (!v) {
        if (required)
            throw wrong(at + key + ": missing");
        return;
    }
    auto s = v.value<std::string>();
    if (!s || s->empty() || s->size() >= len ||
        s->find_first_of(" \t\n/") != std::string::npos)
        throw wrong(at + key + ": expected a text of 1 to " + std::to_string(len - 1) +
                    " characters without spaces or slashes");
    // `s` holds the text itself, and nothing changes it in between.
    // NOLINTNEXTLINE(clang-analyzer-cplusplus.InnerPointer)
    std::memcpy(out, s->c_str(), s->size() + 1);
}

void addr(const toml::table &t, const std::string &at, const char *key, char *out)
{
    char host[LMN_ADDRESS_SIZE];
    int port;
    text(t, at, key, out, LMN_ADDRESS_SIZE);
    if (lmn_address_split(out, host, sizeof host, &port) != 0)
        throw wrong(at + key +
                    ": expected an IPv4 address and a port, as in 10.0.0.1:8080");
}

double number(const toml::table &t, const std::string &at, const char *key, double def,
              double lo, double hi)
{
    auto v = t[key];
    if (!v)
        return def;
    auto d = v.value<double>();
    if (!d || !std::isfinite(*d) || *d < lo || *d > hi) {
        char range[96];
        std::snprintf(range, sizeof range, "expected a number from %g to %g", lo, hi);
        throw wrong(at + key + ": " + range);
    }
    return *d;
}

int whole(const toml::table &t, const std::string &at, const char *key, int def, int lo,
          int hi)
{
    double d = number(t, at, key, def, lo, hi);
    if (d != std::floor(d))
        throw wrong(at + key + ": expected a whole number");
    return static_cast<int>(d);
}

toml::table sub(const toml::table &t, const char *key)
{
    if (auto *s = t[key].as_table())
        return *s;
    if (t[key])
        throw wrong(std::string(key) + ": expected a table");
    return {};
}

template <class F>
void each(const toml::table &t, const std::string &at, const char *key, F f)
{
    if (!t[key])
        return;
    auto *a = t[key].as_array();
    if (!a)
        throw wrong(at + key + ": expected an array of tables");
    size_t i = 0;
    for (auto &e : *a) {
        std::string here = at + key + "[" + std::to_string(i++) + "]";
        if (!e.as_table())
            throw wrong(here + ": expected a table");
        f(*e.as_table(), here + ".");
    }
}

lmn_team &add_team(lmn_settings &s)
{
    if (s.team_count == LMN_MAX_TEAMS)
        throw wrong("params.teams: more than " + std::to_string(LMN_MAX_TEAMS));
    void *grown = std::realloc(s.teams, (s.team_count + 1) * sizeof *s.teams);
    if (!grown)
        throw std::bad_alloc();
    s.teams = static_cast<lmn_team *>(grown);
    s.teams[s.team_count] = {};
    return s.teams[s.team_count++];
}

void fill(const toml::table &t, lmn_settings &s)
{
    text(t, "", "host_name", s.node_name, sizeof s.node_name);
    text(t, "", "area", s.zone, sizeof s.zone);
    addr(t, "", "client_listen", s.client_listen);
    addr(t, "", "internal_addr", s.internal_address);
    each(t, "", "members", [&](const toml::table &m, const std::string &at) {
        if (s.member_count == LMN_MAX_MEMBERS)
            throw wrong("members: too many");
        lmn_member &d = s.members[s.member_count++];
        text(m, at, "host_name", d.name, sizeof d.name);
        text(m, at, "area", d.zone, sizeof d.zone, false);
        addr(m, at, "address", d.address);
        for (size_t i = 0; i + 1 < s.member_count; i++)
            if (!std::strcmp(s.members[i].name, d.name))
                throw wrong(at + "host_name: named twice");
        if (!std::strcmp(s.node_name, d.name))
            throw wrong(at + "host_name: names this node itself");
    });
    auto out = sub(t, "outside");
    addr(out, "outside.", "cloud", s.cloud_address);
    addr(out, "outside.", "state", s.state_address);
    auto p = sub(t, "params");
    s.partition_count =
        whole(p, "params.", "initial_size", static_cast<int>(s.member_count) + 1, 1,
              LMN_MAX_PARTITIONS);
    each(p, "params.", "teams", [&](const toml::table &m, const std::string &at) {
        lmn_team &d = add_team(s);
        text(m, at, "name", d.name, sizeof d.name);
        d.cpus = number(m, at, "cpus", 0, 0, 1e9);
        d.cpus_max = number(m, at, "cpus_max", 0, 0, 1e9);
        d.gpus = number(m, at, "gpus", 0, 0, 1e9);
        d.gpus_max = number(m, at, "gpus_max", 0, 0, 1e9);
        if (d.cpus_max > 0 && d.cpus > d.cpus_max)
            throw wrong(at + "cpus: more than cpus_max");
        if (d.gpus_max > 0 && d.gpus > d.gpus_max)
            throw wrong(at + "gpus: more than gpus_max");
        for (size_t i = 0; i + 1 < s.team_count; i++)
            if (!std::strcmp(s.teams[i].name, d.name))
                throw wrong(at + "name: named twice");
    });
    each(p, "params.", "objectives", [&](const toml::table &m, const std::string &at) {
        static const char *const kinds[] = {"wait", "finished", "deadline", "guarantee"};
        char kind[LMN_NAME_SIZE] = "";
        lmn_objective d = {};
        text(m, at, "kind", kind, sizeof kind);
        text(m, at, "class", d.class_name, sizeof d.class_name, false);
        d.within_s = number(m, at, "within_s", 0, 0, 1e9);
        d.times = number(m, at, "times", 1, 0, 1e6);
        d.share = number(m, at, "share", 1, 0, 1);
        for (int k = 0; k < 4; k++)
            if (!std::strcmp(kind, kinds[k]) && s.objective_count < LMN_MAX_OBJECTIVES) {
                d.kind = static_cast<lmn_objective_kind>(k);
                s.objectives[s.objective_count++] = d;
            }
    });
    auto w = sub(p, "workers");
    s.heartbeat_s = number(w, "params.workers.", "report_s", 2, 0.05, 600);
    s.lease_s = number(w, "params.workers.", "lease_s", 20, 0.1, 3600);
    s.cancel_s = number(w, "params.workers.", "cancel_s", 60, 0.1, 3600);
    if (s.lease_s <= s.heartbeat_s)
        throw wrong("params.workers.lease_s: must be longer than report_s");
    if (s.cancel_s <= s.lease_s)
        throw wrong("params.workers.cancel_s: must be longer than lease_s");
    auto st = sub(p, "state");
    s.state_requests_per_s = number(st, "params.state.", "rps", 100, 1, 1e9);
    s.state_writes_per_s = number(st, "params.state.", "write_rps", 50, 1, 1e9);
    s.max_value_kb = number(st, "params.state.", "value_kb", 16, 1, 1e6);
    s.max_txn_operations = whole(st, "params.state.", "txn_ops", 12, 4, 1000000);
    auto c = sub(p, "cloud");
    s.cloud_requests_per_s = number(c, "params.cloud.", "rps", 2, 0.01, 1e9);
    s.list_lag_s = number(c, "params.cloud.", "list_lag_s", 5, 0, 3600);
    auto r = sub(p, "resources");
    s.cores = number(r, "params.resources.", "cores", 1, 0.001, 1e6);
    s.memory_mb = number(r, "params.resources.", "memory_mb", 128, 16, 1e9);
    s.max_connections =
        whole(r, "params.resources.", "max_connections", 1024, 32, 10000000);
}

int parse(const std::string &doc, const char *name, lmn_settings *settings, char *err,
          size_t errlen)
{
    std::memset(settings, 0, sizeof *settings);
    try {
        fill(toml::parse(doc), *settings);
        return 0;
    } catch (const toml::parse_error &e) {
        std::snprintf(err, errlen, "%s: line %u: %s", name,
                      static_cast<unsigned>(e.source().begin.line),
                      std::string(e.description()).c_str());
    } catch (const std::exception &e) {
        std::snprintf(err, errlen, "%s: %s", name, e.what());
    }
    lmn_settings_free(settings);
    return -1;
}

} // namespace

extern "C" int lmn_settings_parse(const char *t, const char *name, lmn_settings *settings,
                                  char *err, size_t errlen)
{
    return parse(t, name, settings, err, errlen);
}

extern "C" int lmn_settings_load(const char *path, lmn_settings *settings, char *err,
                                 size_t errlen)
{
    std::ifstream in(path);
    std::stringstream doc;
    if (!in) {
        std::snprintf(err, errlen, "%s: cannot be read", path);
        return -1;
    }
    doc << in.rdbuf();
    return parse(doc.str(), path, settings, err, errlen);
}

// --- operators' files: everything, flat, with its line ---

namespace
{

void flatten(lmn_config *config, const std::string &path, const toml::node &n)
{
    unsigned line = static_cast<unsigned>(n.source().begin.line);
    if (auto *t = n.as_table()) {
        if (!path.empty())
            lmn_config_add(config, path.c_str(), LMN_CONFIG_TABLE, "", 0, line);
        for (auto &&[key, value] : *t)
            flatten(config, (path.empty() ? "" : path + ".") + std::string(key.str()),
                    value);
    } else if (auto *a = n.as_array()) {
        size_t i = 0;
        lmn_config_add(config, path.c_str(), LMN_CONFIG_ARRAY, "",
                       static_cast<double>(a->size()), line);
        for (auto &e : *a)
            flatten(config, path + "[" + std::to_string(i++) + "]", e);
    } else if (auto *b = n.as_boolean()) {
        lmn_config_add(config, path.c_str(), LMN_CONFIG_BOOL, "", **b, line);
    } else if (auto v = n.value<double>(); v && n.is_number()) {
        lmn_config_add(config, path.c_str(), LMN_CONFIG_NUMBER, "", *v, line);
    } else if (auto s = n.value<std::string>()) {
        lmn_config_add(config, path.c_str(), LMN_CONFIG_TEXT, s->c_str(), 0, line);
    } else {
        lmn_config_add(config, path.c_str(), LMN_CONFIG_TABLE, "", 0,
                       line); // dates: of no field here
    }
}

} // namespace

extern "C" lmn_config *lmn_config_parse(const char *text, const char *name, char *err,
                                        size_t len)
{
    try {
        auto doc = toml::parse(std::string(text));
        lmn_config *config = lmn_config_new(name);
        flatten(config, "", doc);
        return config;
    } catch (const toml::parse_error &e) {
        std::snprintf(err, len, "%s: line %u: %s", name,
                      static_cast<unsigned>(e.source().begin.line),
                      std::string(e.description()).c_str());
    } catch (const std::exception &e) {
        std::snprintf(err, len, "%s: %s", name, e.what());
    }
    return nullptr;
}

extern "C" lmn_config *lmn_config_load(const char *path, char *err, size_t len)
{
    std::ifstream in(path);
    std::stringstream doc;
    if (!in) {
        std::snprintf(err, len, "%s: cannot be read: %s", path, std::strerror(errno));
        return nullptr;
    }
    doc << in.rdbuf();
    return lmn_config_parse(doc.str().c_str(), path, err, len);
}
