/**
 * @file
 * Writes the settings files of a site's processes, each as the process's own reader
 * expects it.
 */
#include "util/process.h"
#include "site/site.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum { DIRECTORY_MODE = 0755 };

static GString *new_settings(const struct lmn_site *site)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text, "# Written by 'lemonspar site' from %s at each start.\n",
                           site->file);
    return text;
}

/** The settings of the key-value store. */
static GString *state_settings(const struct lmn_site *site)
{
    GString *text = new_settings(site);

    g_string_append_printf(
        text,
        "listen = \"%s\"\ndata = \"%s/state\"\nrps = %g\nwrite_rps = %g\n"
        "value_kb = %g\ntxn_ops = %d\n",
        site->state, site->data, site->state_rps, site->state_write_rps, site->value_kb,
        site->txn_ops);
    return text;
}

/** The settings of the machine provider and the image store, which are one process. */
static GString *fleet_settings(const struct lmn_site *site)
{
    GString *text = new_settings(site);

    g_string_append_printf(
        text,
        "listen = \"%s\"\ndepot = \"%s\"\ndata = \"%s/fleet\"\n"
        "inventory = \"%s\"\naddress = \"%s\"\ncheckpoints = \"%s/checkpoints\"\n"
        "backend = \"%s\"\nrps = %g\nreport_s = %g\nlease_s = %g\nlog_kb = %g\n",
        site->cloud, site->depot, site->data, site->inventory, site->address, site->data,
        site->backend, site->cloud_rps, site->report_s, site->lease_s, site->log_kb);
    for (unsigned i = 0; i < site->controllers; i++)
        g_string_append_printf(
            text, "[[controllers]]\nname = \"controller-%u\"\naddress = \"%s\"\n", i,
            site->users[i]);
    g_string_append(text, site->emulate->str);
    return text;
}

static void append_members(GString *text, const struct lmn_site *site, unsigned self)
{
    g_string_append_printf(
        text,
        "host_name = \"controller-%u\"\narea = \"%s\"\nclient_listen = \"%s\"\n"
        "internal_addr = \"%s\"\n",
        self, site->zone, site->users[self], site->peers[self]);
    for (unsigned i = 0; i < site->controllers; i++)
        if (i != self)
            g_string_append_printf(
                text,
                "[[members]]\nhost_name = \"controller-%u\"\narea = \"%s\"\n"
                "address = \"%s\"\n",
                i, site->zone, site->peers[i]);
}

static void append_teams(GString *text, const struct lmn_site *site)
{
    for (size_t i = 0; i < site->team_count; i++)
        g_string_append_printf(
            text,
            "[[params.teams]]\nname = \"%s\"\ncpus = %g\ncpus_max = %g\n"
            "gpus = %g\ngpus_max = %g\n",
            site->teams[i].name, site->teams[i].cpus, site->teams[i].cpus_max,
            site->teams[i].gpus, site->teams[i].gpus_max);
}

static void append_limits(GString *text, const struct lmn_site *site)
{
    g_string_append_printf(
        text,
        "[params.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n"
        "[params.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n"
        "[params.cloud]\nrps = %g\nlist_lag_s = %g\n"
        "[params.resources]\ncores = %g\nmemory_mb = %g\nmax_connections = %d\n",
        site->report_s, site->lease_s, site->cancel_s, site->state_rps,
        site->state_write_rps, site->value_kb, site->txn_ops, site->cloud_rps,
        site->list_lag_s, site->cores, site->memory_mb, site->max_connections);
}

/** The settings of a controller. @param self its number */
static GString *controller_settings(const struct lmn_site *site, unsigned self)
{
    GString *text = new_settings(site);

    append_members(text, site, self);
    g_string_append_printf(text,
                           "[outside]\ncloud = \"%s\"\nstate = \"%s\"\n[params]\n"
                           "initial_size = %u\n",
                           site->cloud, site->state, site->controllers);
    append_teams(text, site);
    g_string_append(text, site->objectives->str);
    append_limits(text, site);
    return text;
}

/** Writes a process's settings file. Frees the text. @return 0, or -1 with err */
static int write_settings(const struct lmn_site *site, const char *name, GString *text,
                          char *err, size_t len)
{
    g_autofree char *path = lmn_site_path(site, name, ".toml");
    int rc = lmn_file_replace_durably(path, text->str, text->len);

    if (rc != 0)
        g_snprintf(err, len, "%s: %s", path, strerror(errno));
    g_string_free(text, TRUE);
    return rc;
}

int lmn_site_write(const struct lmn_site *site, char *err, size_t len)
{
    g_autofree char *directory = g_build_filename(site->data, "run", NULL);

    if (g_mkdir_with_parents(directory, DIRECTORY_MODE) != 0) {
        g_snprintf(err, len, "%s: %s", directory, strerror(errno));
        return -1;
    }
    int rc = write_settings(site, "state", state_settings(site), err, len);
    if (rc == 0)
        rc = write_settings(site, "fleet", fleet_settings(site), err, len);
    for (unsigned i = 0; i < site->controllers && rc == 0; i++) {
        char name[LMN_NAME_SIZE];
        g_snprintf(name, sizeof name, "controller-%u", i);
        rc = write_settings(site, name, controller_settings(site, i), err, len);
    }
    return rc;
}
