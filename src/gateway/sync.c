#include "gateway/sync_internal.h"
#include "util/clock.h"
#include "util/log.h"

#include <string.h>

enum { PROTOCOL = 2 };

const char *lmn_gateway_peer_site(const struct lmn_gateway_peer *p)
{
    return p->gateway->options->peers[p->index].site;
}

void lmn_gateway_hello_fill(struct lmn_gateway *gateway, lmn_gateway_rpc_hello *h)
{
    static uint64_t serial;
    size_t n;

    pthread_mutex_lock(&gateway->records.lock);
    serial = MAX(serial + 1, (uint64_t)g_get_real_time());
    h->serial = serial;
    pthread_mutex_unlock(&gateway->records.lock);
    h->site = (char *)gateway->options->site;
    h->gateway = (char *)gateway->options->name;
    h->protocol = PROTOCOL;
    h->incarnation = gateway->records.incarnation;
    h->crl.crl_val = (char *)lmn_tls_crl(gateway->tls, &n);
    h->crl.crl_len = (u_int)n;
}

const char *lmn_gateway_hello_accept(struct lmn_gateway *gateway, const char *site,
                                     const lmn_gateway_rpc_hello *h)
{
    struct lmn_gateway_peer *p = lmn_gateway_peer_by_site(gateway, site);

    if (strcmp(h->site, site))
        return "wrong name: the hello is another site's";
    if (h->protocol != PROTOCOL)
        return "another protocol";
    lmn_tls_learn_crl(gateway->tls, site, (const unsigned char *)h->crl.crl_val,
                      h->crl.crl_len);
    pthread_mutex_lock(&gateway->records.lock);
    if (p->incarnation && p->incarnation != h->incarnation)
        lmn_error("peer_restored site=%s", site);
    p->incarnation = h->incarnation;
    p->last_contact_at = lmn_now();
    p->is_up = true;
    pthread_mutex_unlock(&gateway->records.lock);
    return NULL;
}

struct lmn_gateway_rpc_item *lmn_gateway_item_append(GArray *v)
{
    struct lmn_gateway_rpc_item i = {0};
    g_array_append_val(v, i);
    return &g_array_index(v, struct lmn_gateway_rpc_item, v->len - 1);
}

bool lmn_record_write_contains(const GArray *writes, const char *ref)
{
    for (guint i = 0; i < writes->len; i++) {
        const struct lmn_record_write *w =
            &g_array_index(writes, struct lmn_record_write, i);
        if (!strcmp(w->job ? w->job->id : w->remote_job->id, ref))
            return true;
    }
    return false;
}
