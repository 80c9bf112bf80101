/**
 * @file
 * Values derived from the settings, and look-ups in them. The file is read in toml.cpp.
 */
#include "config/settings.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_PORT = 65535 };

/** Margin subtracted from the maximum age of a controller's view of the key-value store,
 * for clock drift and for killing tasks: a share of cancel_s, but at least MIN_MARGIN_S
 * seconds. */
static const double MARGIN_SHARE = 0.05, MIN_MARGIN_S = 1;

/** Maximum age of a view, seconds, at or below which the settings cause a warning. A view
 * is up to about one second old in normal operation, and older if the key-value store is
 * slow. */
static const double SAFE_CACHE_AGE_S = 3;

void lmn_settings_free(struct lmn_settings *settings)
{
    free(settings->teams);
    settings->teams = NULL;
    settings->team_count = 0;
}

const struct lmn_team *lmn_settings_find_team(const struct lmn_settings *settings,
                                              const char *name)
{
    for (size_t i = 0; i < settings->team_count; i++)
        if (!strcmp(settings->teams[i].name, name))
            return &settings->teams[i];
    return NULL;
}

int lmn_settings_member_index(const struct lmn_settings *settings, const char *node)
{
    int index = strcmp(settings->node_name, node) < 0;

    for (size_t i = 0; i < settings->member_count; i++)
        if (strcmp(settings->members[i].name, node) < 0)
            index++;
    return index;
}

static double margin_s(const struct lmn_settings *settings)
{
    double share = MARGIN_SHARE * settings->cancel_s;
    return share > MIN_MARGIN_S ? share : MIN_MARGIN_S;
}

double lmn_settings_max_cache_age_s(const struct lmn_settings *settings)
{
    return settings->cancel_s - settings->lease_s - margin_s(settings);
}

bool lmn_settings_warning(const struct lmn_settings *settings, char *text, size_t len)
{
    double max_age_s = lmn_settings_max_cache_age_s(settings);

    if (max_age_s > SAFE_CACHE_AGE_S)
        return false;
    snprintf(
        text, len,
        "params.workers.cancel_s = %g, lease_s = %g: after a lease and a margin of "
        "%g s, a controller's view of the key-value store may be at most %g s old; %s. "
        "Raise cancel_s to %g or more, or lower lease_s",
        settings->cancel_s, settings->lease_s, margin_s(settings),
        max_age_s > 0 ? max_age_s : 0,
        max_age_s > 0 ? "whenever the store is slower than that, leases expire and all "
                        "tasks are lost"
                      : "no worker is ever answered, and no task ever starts",
        ceil((settings->lease_s + SAFE_CACHE_AGE_S + MIN_MARGIN_S) / (1 - MARGIN_SHARE)));
    return true;
}

int lmn_address_split(const char *address, char *host, size_t len, int *port)
{
    const char *colon = strrchr(address, ':');
    struct in_addr ip;
    char *end;

    if (!colon || (size_t)(colon - address) >= len)
        return -1;
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = '\0';
    long number = strtol(colon + 1, &end, 10);
    if (end == colon + 1 || *end || number < 1 || number > MAX_PORT ||
        inet_pton(AF_INET, host, &ip) != 1)
        return -1;
    *port = (int)number;
    return 0;
}
