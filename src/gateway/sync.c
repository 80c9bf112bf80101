/* Other sites: this gateway asks each, as the host of its jobs (SYNC, and pulls), and
 * answers each, as the home of jobs. */
#include "base/clock.h"
#include "base/codec.h"
#include "base/log.h"
#include "base/thread.h"
#include "base/wire.h"
#include "depot/depot.h"
#include "gateway/gateway_part.h"
#include "gateway/route.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const double LINK_S = 5;
static const double DIAL_FLOOR_S = 0.2, DIAL_CAP_S = 5;
/* An offer without an answer is asked about after so long. */
static const double RESOLVE_S = 1.5;

enum { PROTOCOL = 2, MOST_ITEMS = LMN_G_ITEMS, MAX_LINKS = 64 };

static const char *site_of(const struct lmn_gpeer *p)
{
    return p->g->o->peers[p->index].site;
}

static void fill_hello(struct lmn_gateway *g, lmn_g_hello *h)
{
    static uint64_t serial;
    size_t n;

    pthread_mutex_lock(&g->book.lock);
    serial = MAX(serial + 1, (uint64_t)g_get_real_time());
    h->serial = serial;
    pthread_mutex_unlock(&g->book.lock);
    h->site = (char *)g->o->site;
    h->gateway = (char *)g->o->name;
    h->protocol = PROTOCOL;
    h->incarnation = g->book.incarnation;
    h->crl.crl_val = (char *)lmn_tls_crl(g->tls, &n);
    h->crl.crl_len = (u_int)n;
}

/* Takes a peer's hello; what is wrong with it, or NULL. */
static const char *take_hello(struct lmn_gateway *g, const char *site,
                              const lmn_g_hello *h)
{
    struct lmn_gpeer *p = lmn_peer_named(g, site);

    if (strcmp(h->site, site))
        return "wrong name: the hello is another site's";
    if (h->protocol != PROTOCOL)
        return "another protocol";
    lmn_tls_learn_crl(g->tls, site, (const unsigned char *)h->crl.crl_val,
                      h->crl.crl_len);
    pthread_mutex_lock(&g->book.lock);
    if (p->incarnation && p->incarnation != h->incarnation)
        lmn_error("peer-restored site=%s", site);
    p->incarnation = h->incarnation;
    p->heard = lmn_now();
    p->up = true;
    pthread_mutex_unlock(&g->book.lock);
    return NULL;
}

/* --- as the host: what is said, what comes back --- */

struct host {
    struct lmn_gpeer *p;
    struct lmn_link *link;
    struct lmn_http *state, *depot;
    double wait_s; /* until the next dialling, after failures */
};

static struct lmn_g_item *add_item(GArray *v)
{
    struct lmn_g_item i = {0};
    g_array_append_val(v, i);
    return &g_array_index(v, struct lmn_g_item, v->len - 1);
}

/* What there is to say of the peer's jobs; strings belong to the book. The lock is held.
 */
static GArray *collect(struct lmn_gpeer *p)
{
    GArray *v = g_array_new(FALSE, TRUE, sizeof(struct lmn_g_item));
    GHashTableIter it;
    gpointer x;

    while (p->refusals.head && v->len < MOST_ITEMS / 2) {
        struct lmn_gsay *s = g_queue_pop_head(&p->refusals);
        struct lmn_g_item *i = add_item(v);
        i->ref = g_strdup(s->ref);
        i->epoch = s->epoch;
        i->incarnation = p->g->book.incarnation;
        i->word = LMN_A_REFUSED;
        g_free(s);
    }
    /* Outcomes first: progress is only for display. */
    for (int outcomes = 1; outcomes >= 0; outcomes--) {
        g_hash_table_iter_init(&it, p->g->book.open_guests);
        while (g_hash_table_iter_next(&it, NULL, &x) && v->len < MOST_ITEMS) {
            const struct lmn_guest *guest = x;
            bool over = guest->hand.state == LMN_HO_OVER;
            if (strcmp(guest->home, site_of(p)) || guest->busy || over != outcomes)
                continue;
            struct lmn_g_item *i = add_item(v);
            i->ref = g_strdup(guest->ref);
            i->epoch = guest->hand.epoch;
            i->incarnation = p->g->book.incarnation;
            i->word = over ? LMN_A_OVER : LMN_A_ACCEPTED;
            i->outcome = guest->hand.outcome;
            i->done = guest->progress.done;
            i->running = guest->progress.running;
        }
    }
    return v;
}

static void free_items(GArray *v)
{
    for (guint i = 0; i < v->len; i++)
        g_free(g_array_index(v, struct lmn_g_item, i).ref);
    g_array_free(v, TRUE);
}

/* Brings what the guest's tasks run into the own depot; true if it is there. */
static bool fetch_blob(struct host *k, const char *digest)
{
    lmn_g_request q = {.kind = LMN_G_BLOB};
    lmn_g_response r;
    struct lmn_depot_error e;
    char is[LMN_DIGEST];
    bool ok = false;

    q.lmn_g_request_u.digest = (char *)digest;
    if (!*digest)
        return true;
    if (lmn_link_send_request(k->link, &q) != 0 ||
        lmn_link_read_response(k->link, &r) != 0)
        return false;
    if (r.kind == LMN_G_BLOB) {
        GByteArray *b = g_byte_array_new();
        g_byte_array_append(b, (guint8 *)r.lmn_g_response_u.blob.blob_val,
                            r.lmn_g_response_u.blob.blob_len);
        /* Under its own digest it can be nothing else than it says. */
        lmn_digest(b->data, b->len, is);
        ok = !strcmp(is, digest) && lmn_depot_put(k->depot, b, is, &e) == 0;
        g_byte_array_unref(b);
    }
    xdr_free((xdrproc_t)xdr_lmn_g_response, (char *)&r);
    return ok;
}

static void refuse_later(struct lmn_gpeer *p, const char *ref, uint64_t epoch)
{
    struct lmn_gsay *s = g_new0(struct lmn_gsay, 1);

    g_strlcpy(s->ref, ref, sizeof s->ref);
    s->epoch = epoch;
    g_queue_push_tail(&p->refusals, s);
    p->news = true;
}

/* A job that is offered: accepted, or refused for good, on the disk before it is said. */
static void take_offer(struct host *k, const struct lmn_g_offer *o, bool room)
{
    struct lmn_gateway *g = k->p->g;
    struct lmn_write w = {0};
    struct lmn_spec spec = {0};
    enum lmn_answer answer = LMN_A_REFUSED;
    const char *what;
    struct lmn_doc d;
    bool old = false, ours = o->incarnation == g->book.incarnation;

    if (!lmn_ref_ok(o->ref) || lmn_doc_parse(&d, o->spec.spec_val, o->spec.spec_len) != 0)
        return; /* nobody can have such a job: there is nothing to answer for */
    bool sane =
        lmn_spec_parse(&spec, &d, lmn_root(&d), &what) == 0 && !strcmp(spec.ref, o->ref);
    lmn_doc_free(&d);
    bool team = false;
    for (unsigned i = 0; sane && i < g->o->nteams; i++)
        team = team || !strcmp(g->o->teams[i], spec.team);
    room = room && sane && team && fetch_blob(k, o->digest);
    pthread_mutex_lock(&g->book.lock);
    w.guest = lmn_book_take_guest(&g->book, site_of(k->p), o->ref);
    if (!w.guest && sane) {
        w.guest = lmn_book_new_guest(&g->book, site_of(k->p), o->ref);
        if (w.guest) {
            w.guest->spec = spec;
            memset(&spec, 0, sizeof spec);
            g_strlcpy(w.guest->digest, o->digest, sizeof w.guest->digest);
            w.guest->leash_s = o->leash_s;
        }
    }
    if (w.guest)
        w.host = w.guest->hand;
    bool full = sane && !w.guest; /* nothing is on the disk: nothing may be said */
    bool change = w.guest && lmn_host_offer(&w.host, o->epoch, ours, room, &answer, &old);
    if (w.guest && !change && w.guest->rev)
        lmn_book_put_guest(&g->book, w.guest);
    pthread_mutex_unlock(&g->book.lock);
    if (w.guest && (change || !w.guest->rev))
        lmn_book_write(&g->book, k->state, &w, 1);
    lmn_spec_clear(&spec);
    pthread_mutex_lock(&g->book.lock);
    if (!full && (w.ok || (!change && !old))) {
        if (!sane || answer == LMN_A_REFUSED)
            refuse_later(k->p, o->ref, o->epoch);
        else
            k->p->offers_in++;
        k->p->news = true;
    }
    pthread_mutex_unlock(&g->book.lock);
}

static void resolve(struct host *k, const struct lmn_g_item *i)
{
    struct lmn_gateway *g = k->p->g;
    struct lmn_write w = {0};
    enum lmn_answer answer = LMN_A_REFUSED;
    bool old = false;

    pthread_mutex_lock(&g->book.lock);
    w.guest =
        lmn_ref_ok(i->ref) ? lmn_book_take_guest(&g->book, site_of(k->p), i->ref) : NULL;
    if (!w.guest) {
        /* Never heard of. There is no record to refuse it in: one is made, by a
         * description that says nothing but the name. */
        struct lmn_spec none = {.class_name = (char *)"none",
                                .team = (char *)"none",
                                .image = (char *)"none",
                                .tasks = 1,
                                .deadline_s = -1};
        if (!lmn_ref_ok(i->ref)) {
            pthread_mutex_unlock(&g->book.lock);
            return;
        }
        w.guest = lmn_book_new_guest(&g->book, site_of(k->p), i->ref);
        if (!w.guest) {
            pthread_mutex_unlock(&g->book.lock);
            return;
        }
        w.guest->spec = none;
        g_strlcpy(w.guest->spec.ref, i->ref, LMN_REF);
        w.guest->spec.class_name = g_strdup("none");
        w.guest->spec.team = g_strdup("none");
        w.guest->spec.image = g_strdup("none");
    }
    w.host = w.guest->hand;
    bool change = lmn_host_resolve(&w.host, i->epoch,
                                   i->incarnation == g->book.incarnation, &answer, &old);
    if (!change && w.guest->rev)
        lmn_book_put_guest(&g->book, w.guest);
    pthread_mutex_unlock(&g->book.lock);
    if (change || !w.guest->rev)
        lmn_book_write(&g->book, k->state, &w, 1);
    pthread_mutex_lock(&g->book.lock);
    if ((w.ok || !change) && !old && answer == LMN_A_REFUSED)
        refuse_later(k->p, i->ref, i->epoch);
    k->p->news = true;
    pthread_mutex_unlock(&g->book.lock);
}

/* Whether the job is among those that are taken already: a peer that names one twice must
 * not make this thread wait for itself. */
static bool taken(const GArray *writes, const char *ref)
{
    for (guint i = 0; i < writes->len; i++) {
        const struct lmn_write *w = &g_array_index(writes, struct lmn_write, i);
        if (!strcmp(w->job ? w->job->ref : w->guest->ref, ref))
            return true;
    }
    return false;
}

static void take_word(struct host *k, const struct lmn_g_item *i, bool cancel,
                      GArray *writes)
{
    struct lmn_gateway *g = k->p->g;
    struct lmn_write w = {0};

    if (i->incarnation != g->book.incarnation || taken(writes, i->ref))
        return;
    pthread_mutex_lock(&g->book.lock);
    w.guest = lmn_book_take_guest(&g->book, site_of(k->p), i->ref);
    if (w.guest)
        w.host = w.guest->hand;
    bool recall = cancel && i->outcome == LMN_O_RETURNED;
    /* A job that is called back is stopped as one whose leash is over. In memory: its
     * home says so again until it has come. */
    if (w.guest && recall && w.host.state == LMN_HO_RUNS && w.host.epoch == i->epoch &&
        !w.guest->leashed) {
        lmn_info("called-back home=%s job=%s", w.guest->home, w.guest->ref);
        w.guest->leashed = true;
    }
    bool change =
        w.guest && !recall &&
        (cancel ? lmn_host_cancel(&w.host, i->epoch) : lmn_host_heard(&w.host, i->epoch));
    if (change)
        g_array_append_val(writes, w);
    else if (w.guest)
        lmn_book_put_guest(&g->book, w.guest);
    k->p->outcomes_out += change && !cancel;
    pthread_mutex_unlock(&g->book.lock);
}

/* The idle processors that are left, as offers take them. */
static double room_now(struct lmn_gateway *g)
{
    double cpus, work_s;

    lmn_handed(g, &cpus, &work_s);
    return MAX(g->o->cpus * MAX(g->o->pull_at, 1) - cpus, 0);
}

static bool sync_once(struct host *k)
{
    struct lmn_gateway *g = k->p->g;
    lmn_g_request q = {.kind = LMN_G_SYNC};
    lmn_g_response r;
    struct timespec sent = lmn_now();

    pthread_mutex_lock(&g->book.lock);
    GArray *says = collect(k->p);
    unsigned pull = g->fenced ? 0 : k->p->pull;
    k->p->pull = 0;
    k->p->news = says->len >= MOST_ITEMS;
    double room = room_now(g);
    pthread_mutex_unlock(&g->book.lock);
    q.lmn_g_request_u.sync.says.says_len = says->len;
    q.lmn_g_request_u.sync.says.says_val = (struct lmn_g_item *)(void *)says->data;
    q.lmn_g_request_u.sync.room_cpus = room;
    q.lmn_g_request_u.sync.most = pull;
    bool ok = lmn_link_send_request(k->link, &q) == 0 &&
              lmn_link_read_response(k->link, &r) == 0;
    free_items(says);
    if (!ok)
        return false;
    if (r.kind != LMN_G_SYNC) {
        xdr_free((xdrproc_t)xdr_lmn_g_response, (char *)&r);
        return false;
    }
    const struct lmn_g_reply *y = &r.lmn_g_response_u.reply;
    bool late = lmn_since(lmn_now(), sent) > LMN_LATE_S;
    GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct lmn_write));
    for (u_int i = 0; i < y->heard.heard_len; i++)
        take_word(k, &y->heard.heard_val[i], false, writes);
    for (u_int i = 0; i < y->cancel.cancel_len; i++)
        take_word(k, &y->cancel.cancel_val[i], true, writes);
    lmn_book_write(&g->book, k->state, (struct lmn_write *)(void *)writes->data,
                   writes->len);
    g_array_free(writes, TRUE);
    for (u_int i = 0; i < y->resolve.resolve_len; i++)
        resolve(k, &y->resolve.resolve_val[i]);
    pthread_mutex_lock(&g->book.lock);
    bool evicted = lmn_book_is_evicted(&g->book, site_of(k->p));
    pthread_mutex_unlock(&g->book.lock);
    for (u_int i = 0; i < y->offers.offers_len && !late; i++)
        take_offer(k, &y->offers.offers_val[i], !evicted);
    pthread_mutex_lock(&g->book.lock);
    k->p->heard = k->p->synced = sent;
    k->p->messages++;
    k->p->bytes = lmn_link_bytes(k->link);
    k->p->queued_cpu_s = y->queued_cpu_s;
    if (pull) {
        g->pulls++;
        g->empty_pulls += !y->offers.offers_len;
        g->poll_s = lmn_route_interval(g->poll_s, y->offers.offers_len > 0);
        g->next_pull = lmn_after(lmn_now(), g->poll_s);
    }
    pthread_mutex_unlock(&g->book.lock);
    xdr_free((xdrproc_t)xdr_lmn_g_response, (char *)&r);
    return true;
}

static bool greet(struct host *k)
{
    lmn_g_request q = {.kind = LMN_G_HELLO};
    lmn_g_response r;
    const char *wrong = "no hello";

    fill_hello(k->p->g, &q.lmn_g_request_u.hello);
    if (lmn_link_send_request(k->link, &q) != 0 ||
        lmn_link_read_response(k->link, &r) != 0)
        return false;
    if (r.kind == LMN_G_HELLO)
        wrong = take_hello(k->p->g, site_of(k->p), &r.lmn_g_response_u.hello);
    xdr_free((xdrproc_t)xdr_lmn_g_response, (char *)&r);
    if (wrong)
        lmn_error("hello-refused site=%s why=\"%s\"", site_of(k->p), wrong);
    return !wrong;
}

static void drop(struct host *k, const char *why)
{
    pthread_mutex_lock(&k->p->g->book.lock);
    if (k->p->up)
        lmn_info("link-down site=%s why=\"%s\"", site_of(k->p), why);
    k->p->up = false;
    k->p->failures++;
    g_strlcpy(k->p->why, why, sizeof k->p->why);
    pthread_mutex_unlock(&k->p->g->book.lock);
    if (k->link)
        lmn_link_close(k->link);
    k->link = NULL;
    k->wait_s = k->wait_s > 0 ? MIN(2 * k->wait_s, DIAL_CAP_S) : DIAL_FLOOR_S;
    lmn_sleep(k->wait_s * (0.5 + g_random_double()));
}

void *lmn_host_thread(void *arg)
{
    struct lmn_gpeer *p = arg;
    struct lmn_gateway *g = p->g;
    struct host k = {
        .p = p, .state = lmn_http_new(g->o->state), .depot = lmn_http_new(g->o->depot)};
    char err[256];
    unsigned turn = 0;

    for (;;) {
        if (!k.link) {
            p->dials++;
            /* Of a site's gateways one listens; which, shows the next try. */
            const char *addr = g->o->addresses[p->index][turn % LMN_G_GATEWAYS];
            if (!*addr) {
                turn = 0;
                continue;
            }
            turn++;
            k.link = lmn_link_dial(g->tls, addr, site_of(p), LINK_S, err, sizeof err);
            if (!k.link) {
                drop(&k, err);
                continue;
            }
            if (!greet(&k)) {
                drop(&k, "no hello");
                continue;
            }
            lmn_info("link-up site=%s", site_of(p));
            k.wait_s = 0;
        }
        if (!sync_once(&k)) {
            drop(&k, "no answer");
            continue;
        }
        pthread_mutex_lock(&g->book.lock);
        if (!p->news && !p->pull)
            lmn_cond_wait_for(&p->due, &g->book.lock, g->o->sync_s);
        pthread_mutex_unlock(&g->book.lock);
        lmn_sleep(0.02); /* news come in flocks */
    }
    return NULL;
}

/* An idle site pulls: it looks at a fresh random sample of the others, the root of their
 * number, and asks the busiest for a share of what waits there (T 2.3). */
void *lmn_pull_thread(void *arg)
{
    struct lmn_gateway *g = arg;

    for (;;) {
        lmn_sleep(0.05);
        pthread_mutex_lock(&g->book.lock);
        struct timespec now = lmn_now();
        double cpus, work_s;
        lmn_handed(g, &cpus, &work_s);
        bool idle = lmn_route_idle(g->o->cpus, cpus, lmn_queued_cpu_s(g), g->o->pull_at);
        if (!idle || g->fenced || !g->o->npeers || lmn_before(now, g->next_pull)) {
            pthread_mutex_unlock(&g->book.lock);
            continue;
        }
        struct lmn_route_peer view[LMN_MAX_PEERS];
        for (unsigned i = 0; i < g->o->npeers; i++)
            view[i] = (struct lmn_route_peer){
                g->peers[i].up && !lmn_book_is_evicted(&g->book, site_of(&g->peers[i])),
                g->peers[i].queued_cpu_s};
        int busiest = lmn_route_pick(g->rng, view, g->o->npeers);
        if (busiest >= 0) {
            g->peers[busiest].pull = LMN_G_OFFERS;
            pthread_cond_signal(&g->peers[busiest].due);
            g->next_pull = lmn_after(now, 1); /* until its answer says otherwise */
        } else {
            g->poll_s = lmn_route_interval(g->poll_s, false);
            g->next_pull = lmn_after(now, g->poll_s);
        }
        pthread_mutex_unlock(&g->book.lock);
    }
    return NULL;
}

/* --- as the home --- */

struct conn {
    struct lmn_gateway *g;
    int fd;
};

struct answering {
    struct lmn_gateway *g;
    struct lmn_link *link;
    struct lmn_http *state, *depot;
    const char *site;
};

/* What the host says of a job of ours; heard: to be told that it need not say it again.
 */
static void hear(struct answering *a, const struct lmn_g_item *i, GArray *writes,
                 GArray *heard)
{
    struct lmn_book *b = &a->g->book;
    struct lmn_write w = {0};
    bool done = false;

    if (!lmn_ref_ok(i->ref) || i->word < LMN_A_ACCEPTED || i->word > LMN_A_OVER ||
        i->outcome < 0 || i->outcome > LMN_O_RETURNED || taken(writes, i->ref))
        return;
    pthread_mutex_lock(&b->lock);
    w.job = lmn_book_take_job(b, i->ref);
    if (w.job) {
        w.home = w.job->hand;
        bool change = lmn_home_answer(&w.home, a->site, i->incarnation, i->epoch,
                                      (enum lmn_answer)i->word,
                                      (enum lmn_outcome_word)i->outcome, &done);
        if (w.home.state == LMN_H_AWAY && i->epoch == w.home.epoch) {
            w.job->progress.done =
                MAX(w.job->progress.done, MIN(i->done, w.job->spec.tasks));
            w.job->progress.running = i->running;
            w.job->progress.known = lmn_now();
        }
        if (w.home.state == LMN_H_FENCED && change)
            lmn_error("job-fenced job=%s site=%s why=\"that site was restored\"", i->ref,
                      a->site);
        if (change)
            g_array_append_val(writes, w);
        else
            lmn_book_put_job(b, w.job);
        if (done &&
            (!change || w.home.state == LMN_H_FINAL || w.home.state == LMN_H_QUEUED)) {
            struct lmn_g_item *h = add_item(heard);
            *h = *i;
            h->ref = g_strdup(i->ref);
            /* Told only once it is written: marked by the place of its write. */
            h->running = change ? writes->len : 0;
        }
    }
    pthread_mutex_unlock(&b->lock);
}

/* How a job that waits looks to routing. */
static struct lmn_route_job seen(const struct lmn_gjob *j, double wall)
{
    const struct lmn_spec *s = &j->spec;
    double run = MAX(s->estimate_s, 0.1);

    return (struct lmn_route_job){
        .cpus = lmn_job_cpus(s),
        .work_s = lmn_job_cpus(s) * run,
        .run_s = run,
        .slack_s = s->deadline_s >= 0 ? j->at + s->deadline_s - run - wall : INFINITY,
        /* A hand-over takes some messages; an image comes by no less than a gigabyte in
           two seconds. */
        .fetch_s = 0.5 + 2 * s->image_gb,
    };
}

/* Offers jobs to a site that pulls: recorded by the caller before they are sent. */
static void choose_offers(struct answering *a, const lmn_g_sync *q, GArray *writes)
{
    struct lmn_gateway *g = a->g;
    struct lmn_book *b = &g->book;
    struct lmn_gpeer *p = lmn_peer_named(g, a->site);
    GHashTableIter it;
    gpointer x;
    unsigned transit = 0, picks[LMN_G_OFFERS], n = 0;

    pthread_mutex_lock(&b->lock);
    g_hash_table_iter_init(&it, b->open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gjob *j = x;
        transit += j->hand.state == LMN_H_OFFERED && !strcmp(j->hand.site, a->site);
    }
    GPtrArray *v = lmn_waiting(g);
    struct lmn_route_job *jobs = g_new(struct lmn_route_job, v->len + 1);
    double wall = lmn_seconds(lmn_wall());
    for (guint i = 0; i < v->len; i++)
        jobs[i] = seen(v->pdata[i], wall);
    double cpus, work_s;
    lmn_handed(g, &cpus, &work_s);
    const struct lmn_route_home home = {g->o->cpus, cpus,
                                        g->o->feed_s * g->o->cpus - work_s, g->o->share};
    unsigned most = MIN(q->most, LMN_G_OFFERS);
    most = MIN(most, g->o->most_transit > transit ? g->o->most_transit - transit : 0);
    if (!g->fenced && p->incarnation && !lmn_book_is_evicted(b, a->site))
        n = lmn_route_choose(jobs, v->len, &home, q->room_cpus, most, picks);
    for (unsigned i = 0; i < n; i++) {
        struct lmn_gjob *j = v->pdata[picks[i]];
        struct lmn_write w = {.job = j, .home = j->hand};
        if (!lmn_home_offer(&w.home, a->site, p->incarnation, g->o->most_transfers))
            continue;
        j->busy = true;
        j->offered = lmn_now();
        p->offers_out++;
        g_array_append_val(writes, w);
    }
    pthread_mutex_unlock(&b->lock);
    g_free(jobs);
    g_ptr_array_free(v, TRUE);
}

/* Offers that lack an answer, and jobs that are to be stopped. */
static void remind(struct answering *a, GArray *resolve, GArray *cancel)
{
    GHashTableIter it;
    gpointer x;

    pthread_mutex_lock(&a->g->book.lock);
    g_hash_table_iter_init(&it, a->g->book.open_jobs);
    while (g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gjob *j = x;
        bool offered = j->hand.state == LMN_H_OFFERED, away = !offered;
        if (!lmn_home_is_at(&j->hand, a->site))
            continue;
        GArray *to = offered && lmn_since(lmn_now(), j->offered) > RESOLVE_S ? resolve
                     : away && (j->hand.cancel || j->hand.recall)            ? cancel
                                                                             : NULL;
        if (!to || to->len >= MOST_ITEMS)
            continue;
        struct lmn_g_item *i = add_item(to);
        i->ref = g_strdup(j->ref);
        i->epoch = j->hand.epoch;
        i->incarnation = j->hand.incarnation;
        i->outcome = j->hand.cancel ? LMN_O_WITHDRAWN : LMN_O_RETURNED;
    }
    pthread_mutex_unlock(&a->g->book.lock);
}

static void answer_sync(struct answering *a, const lmn_g_sync *q, lmn_g_response *r)
{
    struct lmn_g_reply *y = &r->lmn_g_response_u.reply;
    GArray *writes = g_array_new(FALSE, TRUE, sizeof(struct lmn_write));
    GArray *heard = g_array_new(FALSE, TRUE, sizeof(struct lmn_g_item));
    GArray *resolve = g_array_new(FALSE, TRUE, sizeof(struct lmn_g_item));
    GArray *cancel = g_array_new(FALSE, TRUE, sizeof(struct lmn_g_item));

    for (u_int i = 0; i < q->says.says_len; i++)
        hear(a, &q->says.says_val[i], writes, heard);
    lmn_book_write(&a->g->book, a->state, (struct lmn_write *)(void *)writes->data,
                   writes->len);
    for (guint i = heard->len; i-- > 0;) {
        struct lmn_g_item *h = &g_array_index(heard, struct lmn_g_item, i);
        u_int at = h->running;
        h->running = 0;
        if (at && !g_array_index(writes, struct lmn_write, at - 1).ok) {
            g_free(h->ref);
            g_array_remove_index_fast(heard, i);
        }
    }
    g_array_set_size(writes, 0);
    if (q->most)
        choose_offers(a, q, writes);
    lmn_book_write(&a->g->book, a->state, (struct lmn_write *)(void *)writes->data,
                   writes->len);
    remind(a, resolve, cancel);
    r->kind = LMN_G_SYNC;
    y->offers.offers_val = g_new0(struct lmn_g_offer, writes->len + 1);
    for (guint i = 0; i < writes->len; i++) {
        const struct lmn_write *w = &g_array_index(writes, struct lmn_write, i);
        struct lmn_g_offer *o = &y->offers.offers_val[y->offers.offers_len];
        if (!w->ok || !w->job)
            continue;
        GByteArray *b = g_byte_array_new();
        lmn_put_map(b, lmn_spec_pairs());
        lmn_spec_put(b, &w->job->spec);
        o->ref = g_strdup(w->job->ref);
        o->epoch = w->home.epoch;
        o->incarnation = w->home.incarnation;
        o->spec.spec_len = b->len;
        o->spec.spec_val = (char *)g_byte_array_free(b, FALSE);
        o->digest = g_strdup(w->job->digest);
        o->leash_s = w->job->leash_s;
        y->offers.offers_len++;
    }
    pthread_mutex_lock(&a->g->book.lock);
    struct lmn_gpeer *p = lmn_peer_named(a->g, a->site);
    p->heard = lmn_now();
    p->outcomes_in += heard->len;
    y->queued_cpu_s = a->g->fenced ? 0 : lmn_queued_cpu_s(a->g);
    pthread_mutex_unlock(&a->g->book.lock);
    y->heard.heard_len = heard->len;
    y->heard.heard_val = (struct lmn_g_item *)(void *)g_array_free(heard, FALSE);
    y->resolve.resolve_len = resolve->len;
    y->resolve.resolve_val = (struct lmn_g_item *)(void *)g_array_free(resolve, FALSE);
    y->cancel.cancel_len = cancel->len;
    y->cancel.cancel_val = (struct lmn_g_item *)(void *)g_array_free(cancel, FALSE);
    g_array_free(writes, TRUE);
}

static void free_reply(lmn_g_reply *y)
{
    struct lmn_g_item *lists[] = {y->heard.heard_val, y->resolve.resolve_val,
                                  y->cancel.cancel_val};
    u_int lens[] = {y->heard.heard_len, y->resolve.resolve_len, y->cancel.cancel_len};

    for (int k = 0; k < 3; k++) {
        for (u_int i = 0; i < lens[k]; i++)
            g_free(lists[k][i].ref);
        g_free(lists[k]);
    }
    for (u_int i = 0; i < y->offers.offers_len; i++) {
        g_free(y->offers.offers_val[i].ref);
        g_free(y->offers.offers_val[i].spec.spec_val);
        g_free(y->offers.offers_val[i].digest);
    }
    g_free(y->offers.offers_val);
}

/* Only what a job that is, or was, offered to the site runs. */
static bool may_have(struct answering *a, const char *digest)
{
    GHashTableIter it;
    gpointer x;
    bool may = false;

    pthread_mutex_lock(&a->g->book.lock);
    g_hash_table_iter_init(&it, a->g->book.jobs);
    while (!may && g_hash_table_iter_next(&it, NULL, &x)) {
        const struct lmn_gjob *j = x;
        may = !strcmp(j->digest, digest) && !strcmp(j->hand.site, a->site);
    }
    pthread_mutex_unlock(&a->g->book.lock);
    return may;
}

static int answer_blob(struct answering *a, const char *digest)
{
    GByteArray *b = g_byte_array_new();
    struct lmn_depot_error e;
    lmn_g_response r = {0};

    if (may_have(a, digest) && lmn_depot_get(a->depot, digest, b, &e) == 0 &&
        b->len <= LMN_G_BYTES) {
        r.kind = LMN_G_BLOB;
        r.lmn_g_response_u.blob.blob_len = b->len;
        r.lmn_g_response_u.blob.blob_val = (char *)b->data;
    } else {
        r.lmn_g_response_u.error = (char *)"no such blob";
    }
    int rc = lmn_link_send_response(a->link, &r);
    g_byte_array_unref(b);
    return rc;
}

static int answer_one(struct answering *a, const lmn_g_request *q, bool *greeted)
{
    lmn_g_response r = {0};
    int rc;

    if (q->kind == LMN_G_HELLO) {
        const char *wrong = take_hello(a->g, a->site, &q->lmn_g_request_u.hello);
        *greeted = !wrong;
        if (wrong) {
            lmn_error("hello-refused site=%s why=\"%s\"", a->site, wrong);
            return -1;
        }
        r.kind = LMN_G_HELLO;
        fill_hello(a->g, &r.lmn_g_response_u.hello);
        return lmn_link_send_response(a->link, &r);
    }
    if (!*greeted)
        return -1;
    switch (q->kind) {
    case LMN_G_SYNC:
        answer_sync(a, &q->lmn_g_request_u.sync, &r);
        rc = lmn_link_send_response(a->link, &r);
        free_reply(&r.lmn_g_response_u.reply);
        return rc;
    case LMN_G_LOAD:
        r.kind = LMN_G_LOAD;
        pthread_mutex_lock(&a->g->book.lock);
        r.lmn_g_response_u.queued_cpu_s = lmn_queued_cpu_s(a->g);
        pthread_mutex_unlock(&a->g->book.lock);
        return lmn_link_send_response(a->link, &r);
    case LMN_G_BLOB:
        return answer_blob(a, q->lmn_g_request_u.digest);
    default:
        r.lmn_g_response_u.error = (char *)"no such request";
        return lmn_link_send_response(a->link, &r);
    }
}

static int links; /* that are answered; atomic */

static void *serve_link(void *arg)
{
    struct conn *c = arg;
    struct answering a = {.g = c->g};
    char err[256];
    lmn_g_request q;
    bool greeted = false;

    /* Longer than a peer's silence between two syncs. */
    a.link = lmn_link_accept(c->g->tls, c->fd, MAX(LINK_S, 3 * c->g->o->sync_s), err,
                             sizeof err);
    if (!a.link) {
        lmn_info("link-refused why=\"%s\"", err);
    } else {
        a.site = lmn_link_site(a.link);
        a.state = lmn_http_new(c->g->o->state);
        a.depot = lmn_http_new(c->g->o->depot);
        while (lmn_link_read_request(a.link, &q) == 0) {
            int rc = answer_one(&a, &q, &greeted);
            xdr_free((xdrproc_t)xdr_lmn_g_request, (char *)&q);
            if (rc != 0)
                break;
        }
        lmn_link_close(a.link);
        lmn_http_free(a.state);
        lmn_http_free(a.depot);
    }
    g_atomic_int_add(&links, -1);
    g_free(c);
    return NULL;
}

struct listener {
    struct lmn_gateway *g;
    int fd;
};

static void *accept_links(void *arg)
{
    struct listener *l = arg;

    for (;;) {
        int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            lmn_sleep(0.05);
            continue;
        }
        /* A bound on what strangers, and peers that dial again and again, can take. */
        if (g_atomic_int_add(&links, 1) >= MAX_LINKS + 2 * (int)l->g->o->npeers) {
            g_atomic_int_add(&links, -1);
            close(fd);
            continue;
        }
        struct conn *c = g_new(struct conn, 1);
        *c = (struct conn){l->g, fd};
        lmn_thread(serve_link, c);
    }
    return NULL;
}

int lmn_home_start(struct lmn_gateway *g, char *err, size_t len)
{
    struct listener *l = g_new0(struct listener, 1);
    struct sockaddr_in a = {.sin_family = AF_INET};
    char host[LMN_ADDR];
    int port, one = 1;

    l->g = g;
    l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    lmn_addr_split(g->o->link_listen, host, sizeof host, &port);
    a.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, host, &a.sin_addr);
    setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (l->fd < 0 || bind(l->fd, (struct sockaddr *)&a, sizeof a) != 0 ||
        listen(l->fd, 64) != 0) {
        g_snprintf(err, len, "%s: can't listen: %s", g->o->link_listen,
                   g_strerror(errno));
        return -1;
    }
    lmn_thread(accept_links, l);
    return 0;
}
