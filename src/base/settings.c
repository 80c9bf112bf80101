#include "base/settings.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

const struct lmn_team *lmn_settings_team(const struct lmn_settings *s, const char *name)
{
    for (size_t i = 0; i < s->nteams; i++)
        if (!strcmp(s->teams[i].name, name))
            return &s->teams[i];
    return NULL;
}

int lmn_settings_rank(const struct lmn_settings *s, const char *node)
{
    int rank = strcmp(s->node, node) < 0;

    for (size_t i = 0; i < s->nmembers; i++)
        if (strcmp(s->members[i].name, node) < 0)
            rank++;
    return rank;
}

int lmn_addr_split(const char *addr, char *host, size_t len, int *port)
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
