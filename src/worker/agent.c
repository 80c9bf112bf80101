#include "worker/agent.h"
#include "util/clock.h"
#include "util/log.h"
#include "protocol/wire.h"

#include <stdio.h>
#include <string.h>

static const char *const whys[] = {WIRE_DONE,        WIRE_STOPPED, WIRE_ERROR,
                                   WIRE_NO_CAPACITY, WIRE_BUSY,    WIRE_NO_SUCH_JOB};

void lmn_agent_init(struct lmn_agent *a, const struct lmn_agent_ops *ops, void *arg,
                    uint64_t session, struct timespec now)
{
    a->ops = ops;
    a->arg = arg;
    a->session = session;
    a->seq = a->token = a->ids = 0;
    a->ending = a->noticed = false;
    a->changed = true;
    a->lease_from = now;
    a->token_told = (struct timespec){0, 0};
    a->runs = g_ptr_array_new_with_free_func(g_free);
    ops->leased(arg, lmn_time_add(now, a->lease_s));
}

void lmn_agent_clear(struct lmn_agent *a)
{
    g_ptr_array_free(a->runs, TRUE);
}

struct lmn_task_run *lmn_agent_find_run(struct lmn_agent *a, uint64_t id)
{
    for (guint i = 0; i < a->runs->len; i++) {
        struct lmn_task_run *r = a->runs->pdata[i];
        if (r->id == id)
            return r;
    }
    return NULL;
}

/* --- reports --- */

static const char *state_word(const struct lmn_task_run *r)
{
    switch (r->state == LMN_RUN_ENDING ? r->shown : r->state) {
    case LMN_RUN_RUNNING:
        return WIRE_RUNNING;
    case LMN_RUN_SAVING:
        return WIRE_SAVING;
    case LMN_RUN_ENDED:
        return WIRE_ENDED;
    default:
        return WIRE_FETCHING;
    }
}

static void put_run(GByteArray *b, const struct lmn_task_run *r)
{
    char task[LMN_JOB_ID_SIZE + 16];
    bool ended = r->state == LMN_RUN_ENDED, stopped = ended && r->why == LMN_EXIT_STOPPED;

    g_snprintf(task, sizeof task, "%s/%u", r->ref, r->index);
    lmn_cbor_put_map(b, 3 + ended + stopped);
    lmn_cbor_put_text(b, WIRE_TASK), lmn_cbor_put_text(b, task);
    lmn_cbor_put_text(b, WIRE_ATTEMPT), lmn_cbor_put_uint(b, r->attempt);
    lmn_cbor_put_text(b, WIRE_STATE), lmn_cbor_put_text(b, state_word(r));
    if (ended)
        lmn_cbor_put_text(b, WIRE_EXIT_REASON), lmn_cbor_put_text(b, whys[r->why]);
    if (stopped)
        lmn_cbor_put_text(b, WIRE_SAVED), lmn_cbor_put_bool(b, r->saved);
}

void lmn_agent_write_heartbeat(struct lmn_agent *a, GByteArray *b, struct timespec now)
{
    lmn_cbor_put_map(b, a->noticed ? 10 : 9);
    lmn_cbor_put_text(b, WIRE_MACHINE), lmn_cbor_put_text(b, a->name);
    lmn_cbor_put_text(b, WIRE_ADDRESS), lmn_cbor_put_text(b, a->addr);
    lmn_cbor_put_text(b, WIRE_MACHINE_TYPE), lmn_cbor_put_text(b, a->type.name);
    lmn_cbor_put_text(b, WIRE_ZONE), lmn_cbor_put_text(b, a->zone);
    lmn_cbor_put_text(b, WIRE_SPOT), lmn_cbor_put_bool(b, a->spot);
    lmn_cbor_put_text(b, WIRE_AGENT_INCARNATION), lmn_cbor_put_uint(b, a->session);
    lmn_cbor_put_text(b, WIRE_SEQUENCE), lmn_cbor_put_uint(b, ++a->seq);
    lmn_cbor_put_text(b, WIRE_FENCING_TOKEN), lmn_cbor_put_uint(b, a->token);
    if (a->noticed)
        lmn_cbor_put_text(b, WIRE_SPOT_NOTICE_S),
            lmn_cbor_put_number(b, MAX(lmn_time_diff_s(a->gone_at, now), 0));
    lmn_cbor_put_text(b, WIRE_TASKS), lmn_cbor_put_array(b, a->runs->len);
    for (guint i = 0; i < a->runs->len; i++)
        put_run(b, a->runs->pdata[i]);
    a->changed = false;
}

/* --- commands --- */

/* A higher token is worth a report, but not each: a claim that is disputed would flood
 * the claimants. */
static void take_token(struct lmn_agent *a, uint64_t token, struct timespec now)
{
    if (token > a->token && lmn_time_diff_s(now, a->token_told) > a->lease_s / 2) {
        a->changed = true;
        a->token_told = now;
    }
    a->token = token;
}

static void end(struct lmn_agent *a, struct lmn_task_run *r, enum lmn_exit_reason why)
{
    r->state = LMN_RUN_ENDED;
    r->why = why;
    a->finished += why == LMN_EXIT_DONE;
    a->refused += why > LMN_EXIT_ERROR;
    a->changed = true;
}

static bool holds_room(const struct lmn_task_run *r)
{
    return r->known && r->state != LMN_RUN_ENDED;
}

static bool has_room(const struct lmn_agent *a, const struct lmn_task_run *r)
{
    double cpus = r->cpus, gpus = r->gpus, mem = r->mem;

    for (guint i = 0; i < a->runs->len; i++) {
        const struct lmn_task_run *o = a->runs->pdata[i];
        if (o == r || !holds_room(o))
            continue;
        cpus += o->cpus;
        gpus += o->gpus;
        mem += o->mem;
    }
    return cpus <= a->type.cpus + 1e-6 && gpus <= a->type.gpus + 1e-6 &&
           mem <= a->type.mem + 1e-6;
}

static void begin(struct lmn_agent *a, struct lmn_task_run *r, struct timespec now)
{
    r->since = now;
    a->changed = true;
    if (a->ops->has_result(a->arg, r->ref, r->index)) {
        end(a, r, LMN_EXIT_DONE);
        return;
    }
    r->state = LMN_RUN_RUNNING;
    a->ops->start(a->arg, r);
}

void lmn_agent_described(struct lmn_agent *a, uint64_t id, const struct lmn_job_spec *s,
                         struct timespec now)
{
    struct lmn_task_run *r = lmn_agent_find_run(a, id);

    if (!r || r->state != LMN_RUN_DESCRIBING)
        return;
    if (!s || r->index >= s->tasks) {
        end(a, r, LMN_EXIT_NO_SUCH_JOB);
        return;
    }
    r->cpus = s->cpus;
    r->gpus = s->gpus;
    r->mem = s->mem;
    r->save_s = s->save_s;
    r->saves = s->checkpoint_s > 0;
    r->image = (char *)g_intern_string(s->image);
    if (!has_room(a, r)) {
        end(a, r, LMN_EXIT_NO_CAPACITY);
        return;
    }
    r->known = true;
    r->state = LMN_RUN_FETCHING;
    r->since = now;
    a->ops->fetch(a->arg, r);
}

void lmn_agent_fetched(struct lmn_agent *a, const char *image, bool ok,
                       struct timespec now)
{
    for (guint i = 0; i < a->runs->len; i++) {
        struct lmn_task_run *r = a->runs->pdata[i];
        if (r->state != LMN_RUN_FETCHING || strcmp(r->image, image))
            continue;
        if (ok)
            begin(a, r, now);
        else
            end(a, r, LMN_EXIT_ERROR);
    }
}

static void give_up_image(struct lmn_agent *a, const char *image)
{
    for (guint i = 0; i < a->runs->len; i++) {
        const struct lmn_task_run *r = a->runs->pdata[i];
        if (r->state == LMN_RUN_FETCHING && !strcmp(r->image, image))
            return;
    }
    a->ops->give_up(a->arg, image);
}

static void start(struct lmn_agent *a, const char *ref, uint32_t index, uint64_t attempt,
                  struct timespec now)
{
    struct lmn_task_run *r = g_new0(struct lmn_task_run, 1);
    bool busy = false;

    for (guint i = 0; i < a->runs->len; i++) {
        const struct lmn_task_run *o = a->runs->pdata[i];
        if (o->index == index && !strcmp(o->ref, ref) && o->state != LMN_RUN_ENDED)
            busy = true;
    }
    r->id = ++a->ids;
    g_strlcpy(r->ref, ref, sizeof r->ref);
    r->index = index;
    r->attempt = attempt;
    r->since = now;
    g_ptr_array_add(a->runs, r);
    a->starts++;
    a->changed = true;
    if (busy)
        end(a, r, LMN_EXIT_BUSY);
    else if (!lmn_job_id_is_valid(ref)) /* names become paths */
        end(a, r, LMN_EXIT_NO_SUCH_JOB);
    else
        a->ops->describe(a->arg, r);
}

static void stop(struct lmn_agent *a, struct lmn_task_run *r, double grace)
{
    switch (r->state) {
    case LMN_RUN_DESCRIBING:
        end(a, r, LMN_EXIT_STOPPED);
        return;
    case LMN_RUN_FETCHING:
        end(a, r, LMN_EXIT_STOPPED);
        give_up_image(a, r->image);
        return;
    case LMN_RUN_RUNNING:
        if (r->saves && grace >= r->save_s) {
            r->state = LMN_RUN_SAVING;
            a->changed = true;
            a->ops->save(a->arg, r, grace);
            return;
        }
        break;
    case LMN_RUN_SAVING:
        if (grace > 0)
            return;
        break;
    default:
        return;
    }
    r->shown = r->state;
    r->state = LMN_RUN_ENDING;
    a->ops->kill(a->arg, r);
}

static void obey(struct lmn_agent *a, const struct lmn_cbor_document *d,
                 const struct lmn_cbor_value *n, struct timespec now)
{
    const struct lmn_cbor_value *op = lmn_cbor_get(d, n, WIRE_COMMAND);
    char task[LMN_JOB_ID_SIZE + 16], *slash;
    struct lmn_task_run *r = NULL;
    uint64_t attempt = 0;
    double grace = 0;

    if (!lmn_cbor_get_text(lmn_cbor_get(d, n, WIRE_TASK), task, sizeof task) ||
        !lmn_cbor_get_uint(lmn_cbor_get(d, n, WIRE_ATTEMPT), &attempt) ||
        !(slash = strrchr(task, '/')) || slash - task >= LMN_JOB_ID_SIZE)
        return;
    *slash = '\0';
    uint32_t index = (uint32_t)g_ascii_strtoull(slash + 1, NULL, 10);
    for (guint i = 0; i < a->runs->len && !r; i++) {
        struct lmn_task_run *o = a->runs->pdata[i];
        if (o->attempt == attempt && o->index == index && !strcmp(o->ref, task))
            r = o;
    }
    if (lmn_cbor_text_equals(op, WIRE_START)) {
        if (!r)
            start(a, task, index, attempt, now);
    } else if (lmn_cbor_text_equals(op, WIRE_KILL) && r) {
        lmn_cbor_get_number(lmn_cbor_get(d, n, WIRE_GRACE_S), &grace);
        stop(a, r, grace);
    } else if (lmn_cbor_text_equals(op, WIRE_CLEAR) && r && r->state == LMN_RUN_ENDED) {
        g_ptr_array_remove(a->runs, r);
        a->changed = true;
    }
}

static void obey_all(struct lmn_agent *a, const struct lmn_cbor_document *d,
                     struct timespec now)
{
    const struct lmn_cbor_value *list = lmn_cbor_get(d, lmn_cbor_root(d), WIRE_COMMANDS);

    if (!list || list->type != LMN_CBOR_ARRAY)
        return;
    for (const struct lmn_cbor_value *n = lmn_cbor_first_child(d, list); n;
         n = lmn_cbor_next(d, n))
        obey(a, d, n, now);
}

bool lmn_agent_heartbeat_answered(struct lmn_agent *a, uint64_t session,
                                  struct timespec sent, const void *body, size_t len,
                                  struct timespec now)
{
    struct lmn_cbor_document d;
    uint64_t token = 0;

    /* What stood still, the clock aside, may find its lease over only here. */
    lmn_agent_tick(a, now);
    if (a->ending || session != a->session || lmn_cbor_parse(&d, body, len) != 0)
        return false;
    bool good = lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN),
                                  &token) &&
                token >= a->token;
    if (good) {
        take_token(a, token, now);
        if (lmn_time_before(a->lease_from, sent))
            a->lease_from = sent;
        a->ops->leased(a->arg, lmn_time_add(a->lease_from, a->lease_s));
        obey_all(a, &d, now);
    }
    lmn_cbor_free(&d);
    return good;
}

int lmn_agent_execute(struct lmn_agent *a, const void *body, size_t len, GByteArray *out,
                      struct timespec now)
{
    struct lmn_cbor_document d;
    uint64_t token, session;
    int status = 200;

    lmn_agent_tick(a, now);
    if (a->ending)
        return 503;
    if (lmn_cbor_parse(&d, body, len) != 0)
        return 400;
    if (!lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_FENCING_TOKEN),
                           &token) ||
        !lmn_cbor_get_uint(lmn_cbor_get(&d, lmn_cbor_root(&d), WIRE_AGENT_INCARNATION),
                           &session)) {
        lmn_cbor_free(&d);
        return 400;
    }
    if (token < a->token || session != a->session) {
        status = 409;
    } else {
        take_token(a, token, now);
        obey_all(a, &d, now);
    }
    lmn_cbor_free(&d);
    /* The answer tells all; but the lease is renewed by reports alone, so one is due all
     * the same. */
    bool changed = a->changed;
    lmn_agent_write_heartbeat(a, out, now);
    a->changed = changed;
    return status;
}

int lmn_agent_show(struct lmn_agent *a, GByteArray *out, struct timespec now)
{
    lmn_agent_tick(a, now);
    if (a->ending)
        return 503;
    bool changed = a->changed;
    lmn_agent_write_heartbeat(a, out, now);
    a->changed = changed;
    return 200;
}

/* --- ends --- */

void lmn_agent_exited(struct lmn_agent *a, uint64_t id, bool done, bool saved,
                      struct timespec now)
{
    struct lmn_task_run *r = lmn_agent_find_run(a, id);
    (void)now;

    if (!r || r->state == LMN_RUN_ENDED || a->ending)
        return;
    bool told = r->state == LMN_RUN_SAVING || r->state == LMN_RUN_ENDING;
    r->saved = told && saved && !done;
    end(a, r, done ? LMN_EXIT_DONE : told ? LMN_EXIT_STOPPED : LMN_EXIT_ERROR);
}

void lmn_agent_expire_lease(struct lmn_agent *a, const char *why)
{
    if (a->ending)
        return;
    lmn_info("session-ends session=%" G_GUINT64_FORMAT " tasks=%u why=\"%s\"", a->session,
             a->runs->len, why);
    a->ending = true;
    a->lapses++;
    g_ptr_array_set_size(a->runs, 0);
    a->ops->kill_all(a->arg);
}

void lmn_agent_tick(struct lmn_agent *a, struct timespec now)
{
    if (!a->ending && lmn_time_diff_s(now, a->lease_from) > a->lease_s)
        lmn_agent_expire_lease(a, "the lease is over");
}

void lmn_agent_incarnation_ended(struct lmn_agent *a, uint64_t session,
                                 struct timespec now)
{
    if (!a->ending)
        return;
    a->ending = false;
    a->session = session;
    a->lease_from = now;
    a->changed = true;
    a->ops->leased(a->arg, lmn_time_add(now, a->lease_s));
}

void lmn_agent_spot_notice(struct lmn_agent *a, struct timespec gone_at)
{
    a->noticed = true;
    a->gone_at = gone_at;
    a->changed = true;
}
