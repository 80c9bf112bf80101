#include "config/settings.h"

#include <arpa/inet.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void lmn_settings_free(struct lmn_settings *settings)
{
    free(settings->teams);
    settings->teams = NULL;
    settings->team_count = 0;
}

const struct lmn_team *lmn_settings_team(const struct lmn_settings *settings,
                                         const char *name)
{
    for (size_t i = 0; i < settings->team_count; i++)
        if (!strcmp(settings->teams[i].name, name))
            return &settings->teams[i];
    return NULL;
}

int lmn_settings_member_index(const struct lmn_settings *settings, const char *node)
{
    int member_index = strcmp(settings->node_name, node) < 0;

    for (size_t i = 0; i < settings->member_count; i++)
        if (strcmp(settings->members[i].name, node) < 0)
            member_index++;
    return member_index;
}

static double stale_margin(const struct lmn_settings *settings)
{
    double share = 0.05 * settings->cancel_s;
    return share > 1 ? share : 1;
}

double lmn_settings_max_cache_age_s(const struct lmn_settings *settings)
{
    return settings->cancel_s - settings->lease_s - stale_margin(settings);
}

/* A view is up to about a second old when all is well, and older when the state service
 * is slow. */
static const double TIGHT_S = 3;

bool lmn_settings_warning(const struct lmn_settings *settings, char *text, size_t len)
{
    double limit = lmn_settings_max_cache_age_s(settings);

    if (limit > TIGHT_S)
        return false;
    snprintf(text, len,
             "params.workers.cancel_s = %g, lease_s = %g: beside a lease and a margin of "
             "%g s, a cancellation leaves a controller's view %g s to be old; %s. Raise "
             "cancel_s to %g or more, or lower lease_s",
             settings->cancel_s, settings->lease_s, stale_margin(settings),
             limit > 0 ? limit : 0,
             limit > 0 ? "whenever the state service is slower than that, all tasks are "
                         "lost"
                       : "no worker is ever answered, and no task ever starts",
             ceil((settings->lease_s + TIGHT_S + 1) / 0.95));
    return true;
}

int lmn_address_split(const char *addr, char *host, size_t len, int *port)
{
    const char *colon = strrchr(addr, ':');
    struct in_addr ip;
    char *end;

    if (!colon || (size_t)(colon - addr) >= len)
        return -1;
    memcpy(host, addr, (size_t)(colon - addr));
    host[colon - addr] = '\0';
    long p = strtol(colon + 1, &end, 10);
    if (end == colon + 1 || *end || p < 1 || p > 65535 ||
        inet_pton(AF_INET, host, &ip) != 1)
        return -1;
    *port = (int)p;
    return 0;
}
