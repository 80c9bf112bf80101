/**
 * @file
 * Parsing of TOML: the platform's settings into struct lmn_settings, and operators' files
 * into the flat fields of struct lmn_config. The one C++ file, since Debian packages
 * toml++ but no C library for TOML. The functions with C linkage catch all
 * exceptions and return their messages. No shared state.
 */
#include "config/config.h"
#include "config/settings.h"

#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <toml++/toml.h>

namespace
{

/** Upper bounds of settings, far above sensible values, so that typing errors are
 * refused.
 */
constexpr double MAX_AMOUNT = 1e9, MAX_FACTOR = 1e6, MAX_PERIOD_S = 3600;

/** A field of the settings that is missing or invalid; the message is "field: error". */
struct invalid_field : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** A table of the file and the path that its fields have in messages, with a dot at the
 * end unless it is the whole file. */
struct section {
    const toml::table &table;
    std::string path;

    std::string name_of(const char *key) const
    {
        return path + key;
    }
};

/** Copies a text. Spaces and slashes are refused, since names become parts of keys and
 * paths. */
void read_text(const section &from, const char *key, char *out, size_t size,
               bool is_required = true)
{
    auto node = from.table[key];
    if (!node) {
        if (is_required)
            throw invalid_field(from.name_of(key) + ": missing");
        return;
    }
    auto value = node.value<std::string>();
    if (!value || value->empty() || value->size() >= size ||
        value->find_first_of(" \t\n/") != std::string::npos)
        throw invalid_field(from.name_of(key) + ": expected a text of 1 to " +
                            std::to_string(size - 1) +
                            " characters without spaces or slashes" +
                            (value ? ", got \"" + *value + "\"" : ""));
    // `value` holds the text itself, and nothing changes it in between.
    // NOLINTNEXTLINE(clang-analyzer-cplusplus.InnerPointer)
    std::memcpy(out, value->c_str(), value->size() + 1);
}

void read_address(const section &from, const char *key, char *out)
{
    char host[LMN_ADDRESS_SIZE];
    int port;
    read_text(from, key, out, LMN_ADDRESS_SIZE);
    if (lmn_address_split(out, host, sizeof host, &port) != 0)
        throw invalid_field(
            from.name_of(key) +
            ": expected an IPv4 address and a port, as in 10.0.0.1:8080, got \"" + out +
            "\"");
}

double read_number(const section &from, const char *key, double fallback, double min,
                   double max)
{
    auto node = from.table[key];
    if (!node)
        return fallback;
    auto value = node.value<double>();
    if (!value || !std::isfinite(*value) || *value < min || *value > max) {
        char range[96];
        std::snprintf(range, sizeof range, "expected a number from %g to %g", min, max);
        throw invalid_field(from.name_of(key) + ": " + range);
    }
    return *value;
}

int read_integer(const section &from, const char *key, int fallback, int min, int max)
{
    double value = read_number(from, key, fallback, min, max);
    if (value != std::floor(value))
        throw invalid_field(from.name_of(key) + ": expected a whole number, got " +
                            std::to_string(value));
    return static_cast<int>(value);
}

/** @return the table of this key; an empty one if it is absent. */
toml::table subtable(const toml::table &table, const char *key)
{
    if (auto *value = table[key].as_table())
        return *value;
    if (table[key])
        throw invalid_field(std::string(key) + ": expected a table");
    return {};
}

/** Calls `read` with each table of an array, which may be absent. */
template <class Reader>
void for_each_table(const section &from, const char *key, Reader read)
{
    if (!from.table[key])
        return;
    auto *array = from.table[key].as_array();
    if (!array)
        throw invalid_field(from.name_of(key) + ": expected an array of tables");
    size_t i = 0;
    for (auto &element : *array) {
        std::string path = from.name_of(key) + "[" + std::to_string(i++) + "]";
        if (!element.as_table())
            throw invalid_field(path + ": expected a table");
        read(section{*element.as_table(), path + "."});
    }
}

void read_member(const section &from, lmn_settings &settings)
{
    if (settings.member_count == LMN_MAX_MEMBERS)
        throw invalid_field("members: more than " + std::to_string(LMN_MAX_MEMBERS) +
                            " controllers");
    lmn_member &member = settings.members[settings.member_count++];
    read_text(from, "host_name", member.name, sizeof member.name);
    read_text(from, "area", member.zone, sizeof member.zone, false);
    read_address(from, "address", member.address);
    for (size_t i = 0; i + 1 < settings.member_count; i++)
        if (!std::strcmp(settings.members[i].name, member.name))
            throw invalid_field(from.name_of("host_name") + ": \"" + member.name +
                                "\" is the name of an earlier member");
    if (!std::strcmp(settings.node_name, member.name))
        throw invalid_field(from.name_of("host_name") + ": \"" + member.name +
                            "\" is the name of this node");
}

/** Allocates with malloc, since lmn_settings_free() is C. */
lmn_team &add_team(lmn_settings &settings)
{
    if (settings.team_count == LMN_MAX_TEAMS)
        throw invalid_field("params.teams: more than " + std::to_string(LMN_MAX_TEAMS));
    void *grown =
        std::realloc(settings.teams, (settings.team_count + 1) * sizeof *settings.teams);
    if (!grown)
        throw std::bad_alloc();
    settings.teams = static_cast<lmn_team *>(grown);
    settings.teams[settings.team_count] = {};
    return settings.teams[settings.team_count++];
}

void read_team(const section &from, lmn_settings &settings)
{
    lmn_team &team = add_team(settings);
    read_text(from, "name", team.name, sizeof team.name);
    team.cpus = read_number(from, "cpus", 0, 0, MAX_AMOUNT);
    team.cpus_max = read_number(from, "cpus_max", 0, 0, MAX_AMOUNT);
    team.gpus = read_number(from, "gpus", 0, 0, MAX_AMOUNT);
    team.gpus_max = read_number(from, "gpus_max", 0, 0, MAX_AMOUNT);
    if (team.cpus_max > 0 && team.cpus > team.cpus_max)
        throw invalid_field(from.name_of("cpus") + ": more than cpus_max");
    if (team.gpus_max > 0 && team.gpus > team.gpus_max)
        throw invalid_field(from.name_of("gpus") + ": more than gpus_max");
    for (size_t i = 0; i + 1 < settings.team_count; i++)
        if (!std::strcmp(settings.teams[i].name, team.name))
            throw invalid_field(from.name_of("name") + ": \"" + team.name +
                                "\" is the name of an earlier team");
}

/** Adds an objective. Ignores one of an unknown kind, since a later version of the
 * platform may define further kinds. */
void read_objective(const section &from, lmn_settings &settings)
{
    // Indexed by enum lmn_objective_kind.
    static const char *const kind_words[] = {"wait", "finished", "deadline", "guarantee"};
    char word[LMN_NAME_SIZE] = "";
    lmn_objective objective = {};

    read_text(from, "kind", word, sizeof word);
    read_text(from, "class", objective.class_name, sizeof objective.class_name, false);
    objective.within_s = read_number(from, "within_s", 0, 0, MAX_AMOUNT);
    objective.times = read_number(from, "times", 1, 0, MAX_FACTOR);
    objective.share = read_number(from, "share", 1, 0, 1);
    for (size_t kind = 0; kind < std::size(kind_words); kind++)
        if (!std::strcmp(word, kind_words[kind]) &&
            settings.objective_count < LMN_MAX_OBJECTIVES) {
            objective.kind = static_cast<lmn_objective_kind>(kind);
            settings.objectives[settings.objective_count++] = objective;
        }
}

void read_workers(const section &from, lmn_settings &settings)
{
    settings.heartbeat_s = read_number(from, "report_s", 2, 0.05, 600);
    settings.lease_s = read_number(from, "lease_s", 20, 0.1, MAX_PERIOD_S);
    settings.cancel_s = read_number(from, "cancel_s", 60, 0.1, MAX_PERIOD_S);
    if (settings.lease_s <= settings.heartbeat_s)
        throw invalid_field(from.name_of("lease_s") + ": must be longer than report_s");
    if (settings.cancel_s <= settings.lease_s)
        throw invalid_field(from.name_of("cancel_s") + ": must be longer than lease_s");
}

void read_state(const section &from, lmn_settings &settings)
{
    settings.state_requests_per_s = read_number(from, "rps", 100, 1, MAX_AMOUNT);
    settings.state_writes_per_s = read_number(from, "write_rps", 50, 1, MAX_AMOUNT);
    settings.max_value_kb = read_number(from, "value_kb", 16, 1, 1e6);
    settings.max_txn_operations = read_integer(from, "txn_ops", 12, 4, 1000000);
}

void read_cloud(const section &from, lmn_settings &settings)
{
    settings.cloud_requests_per_s = read_number(from, "rps", 2, 0.01, MAX_AMOUNT);
    settings.list_lag_s = read_number(from, "list_lag_s", 5, 0, MAX_PERIOD_S);
}

void read_resources(const section &from, lmn_settings &settings)
{
    settings.cores = read_number(from, "cores", 1, 0.001, 1e6);
    settings.memory_mb = read_number(from, "memory_mb", 128, 16, MAX_AMOUNT);
    settings.max_connections = read_integer(from, "max_connections", 1024, 32, 10000000);
}

void read_params(const toml::table &table, lmn_settings &settings)
{
    section params{table, "params."};
    settings.partition_count =
        read_integer(params, "initial_size", static_cast<int>(settings.member_count) + 1,
                     1, LMN_MAX_PARTITIONS);
    for_each_table(params, "teams",
                   [&](const section &team) { read_team(team, settings); });
    for_each_table(params, "objectives", [&](const section &objective) {
        read_objective(objective, settings);
    });
    read_workers({subtable(table, "workers"), "params.workers."}, settings);
    read_state({subtable(table, "state"), "params.state."}, settings);
    read_cloud({subtable(table, "cloud"), "params.cloud."}, settings);
    read_resources({subtable(table, "resources"), "params.resources."}, settings);
}

void read_settings(const toml::table &table, lmn_settings &settings)
{
    section file{table, ""};
    read_text(file, "host_name", settings.node_name, sizeof settings.node_name);
    read_text(file, "area", settings.zone, sizeof settings.zone);
    read_address(file, "client_listen", settings.client_listen);
    read_address(file, "internal_addr", settings.internal_address);
    for_each_table(file, "members",
                   [&](const section &member) { read_member(member, settings); });
    auto outside = subtable(table, "outside");
    read_address({outside, "outside."}, "cloud", settings.cloud_address);
    read_address({outside, "outside."}, "state", settings.state_address);
    read_params(subtable(table, "params"), settings);
}

/** Runs `action`. @return false, with "name: error" in `err`, if it threw an exception.
 */
template <class Action>
bool run_catching(const char *name, char *err, size_t len, Action action)
{
    try {
        action();
        return true;
    } catch (const toml::parse_error &error) {
        std::snprintf(err, len, "%s: line %u: %s", name,
                      static_cast<unsigned>(error.source().begin.line),
                      std::string(error.description()).c_str());
    } catch (const std::exception &error) {
        std::snprintf(err, len, "%s: %s", name, error.what());
    }
    return false;
}

int parse_settings(const std::string &text, const char *name, lmn_settings *settings,
                   char *err, size_t len)
{
    std::memset(settings, 0, sizeof *settings);
    if (run_catching(name, err, len,
                     [&] { read_settings(toml::parse(text), *settings); }))
        return 0;
    lmn_settings_free(settings);
    return -1;
}

/** Adds a node of an operator's file and all nodes in it. */
void flatten(lmn_config *config, const std::string &path, const toml::node &node)
{
    unsigned line = static_cast<unsigned>(node.source().begin.line);
    auto add = [&](lmn_config_kind kind, const char *text, double number) {
        lmn_config_add(config, path.c_str(), kind, text, number, line);
    };

    if (auto *table = node.as_table()) {
        if (!path.empty())
            add(LMN_CONFIG_TABLE, "", 0);
        for (auto &&[key, value] : *table)
            flatten(config, (path.empty() ? "" : path + ".") + std::string(key.str()),
                    value);
    } else if (auto *array = node.as_array()) {
        size_t i = 0;
        add(LMN_CONFIG_ARRAY, "", static_cast<double>(array->size()));
        for (auto &element : *array)
            flatten(config, path + "[" + std::to_string(i++) + "]", element);
    } else if (auto *truth = node.as_boolean()) {
        add(LMN_CONFIG_BOOL, "", **truth);
    } else if (auto number = node.value<double>(); number && node.is_number()) {
        add(LMN_CONFIG_NUMBER, "", *number);
    } else if (auto text = node.value<std::string>()) {
        add(LMN_CONFIG_TEXT, text->c_str(), 0);
    } else {
        // Dates and times are added as tables: no getter reads a table, so that the
        // getter of the field reports a wrong kind.
        add(LMN_CONFIG_TABLE, "", 0);
    }
}

} // namespace

extern "C" int lmn_settings_parse(const char *text, const char *name,
                                  lmn_settings *settings, char *err, size_t len)
{
    return parse_settings(text, name, settings, err, len);
}

extern "C" int lmn_settings_load(const char *path, lmn_settings *settings, char *err,
                                 size_t len)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file) {
        std::snprintf(err, len, "%s: cannot be read", path);
        return -1;
    }
    text << file.rdbuf();
    return parse_settings(text.str(), path, settings, err, len);
}

extern "C" lmn_config *lmn_config_parse(const char *text, const char *name, char *err,
                                        size_t len)
{
    std::unique_ptr<lmn_config, decltype(&lmn_config_free)> config(nullptr,
                                                                   lmn_config_free);
    bool is_parsed = run_catching(name, err, len, [&] {
        auto table = toml::parse(std::string(text));
        config.reset(lmn_config_new(name));
        flatten(config.get(), "", table);
    });
    return is_parsed ? config.release() : nullptr;
}

extern "C" lmn_config *lmn_config_load(const char *path, char *err, size_t len)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file) {
        std::snprintf(err, len, "%s: cannot be read: %s", path, std::strerror(errno));
        return nullptr;
    }
    text << file.rdbuf();
    return lmn_config_parse(text.str().c_str(), path, err, len);
}
