/* Messages between processes keep their bytes: each golden message is read, its fields
 * are checked, and what was read is written again to the same bytes. */
#include "golden.h"

#include "gateway/peer_connection.h"

#include "gateway_rpc.h"
#include "controller_rpc.h"

/* --- XDR --- */

static void encodes(const char *name, xdrproc_t proc, void *message)
{
    char *buffer = g_malloc(65536);
    XDR x;

    xdrmem_create(&x, buffer, 65536, XDR_ENCODE);
    assert_true(proc(&x, message, 0));
    golden_same(name, buffer, xdr_getpos(&x));
    xdr_destroy(&x);
    g_free(buffer);
}

/* Writes the message, and reads the golden one into *read, which is written again. */
static void keeps(const char *name, xdrproc_t proc, void *message, void *read,
                  size_t size)
{
    XDR x;

    encodes(name, proc, message);
    GByteArray *b = golden_read(name);
    memset(read, 0, size);
    xdrmem_create(&x, (char *)b->data, b->len, XDR_DECODE);
    assert_true(proc(&x, read, 0));
    assert_int_equal(xdr_getpos(&x), b->len);
    xdr_destroy(&x);
    g_byte_array_unref(b);
    encodes(name, proc, read);
}

#define KEEPS(type, name, message, read)                                                 \
    keeps(name, (xdrproc_t)xdr_##type, message, read, sizeof(type))
#define FORGET(type, read) xdr_free((xdrproc_t)xdr_##type, read)

static char *text(const char *s)
{
    return (char *)(guintptr)s;
}

static void procedures_of_controllers_keep_their_numbers(void **state)
{
    (void)state;
    assert_int_equal(LMN_RPC_PROGRAM, 0x2c0a5b41);
    assert_int_equal(LMN_RPC_VERSION_1, 1);
    assert_int_equal(LMN_RPC_PING, 0);
    assert_int_equal(LMN_RPC_STATUS, 1);
    assert_int_equal(LMN_RPC_SETTINGS_GET, 2);
    assert_int_equal(LMN_RPC_SETTINGS_SET, 3);
    assert_int_equal(LMN_RPC_DRAIN, 4);
    assert_int_equal(LMN_RPC_LOAD, 5);
    assert_int_equal(LMN_RPC_STEAL, 6);
    assert_int_equal(LMN_RPC_STALENESS, 7);
    assert_int_equal(LMN_RPC_QUOTA, 8);
    assert_int_equal(LMN_RPC_PROBE, 9);
    assert_int_equal(LMN_RPC_MEMBERS, 10);
    assert_int_equal(LMN_RPC_REPLICATE, 11);
    assert_int_equal(LMN_RPC_SHUTDOWN, 12);
    assert_int_equal(LMN_RPC_OWNERSHIP, 13);
    assert_int_equal(LMN_RPC_TOMBSTONES, 14);
}

static void administration_messages_keep_their_bytes(void **state)
{
    lmn_rpc_setting items[] = {{text("sample"), 12}, {text("share"), 0.25}};
    lmn_rpc_settings list = {{2, items}}, read_list;
    lmn_rpc_reply reply = {-3, text("no such machine")}, read_reply;
    lmn_rpc_set_request set = {text("horizon_s"), 45.5}, read_set;
    lmn_rpc_machine_request drain = {text("host-000001")}, read_drain;
    (void)state;

    KEEPS(lmn_rpc_settings, "peer_tuning_list", &list, &read_list);
    assert_int_equal(read_list.items.items_len, 2);
    assert_string_equal(read_list.items.items_val[1].name, "share");
    assert_true(read_list.items.items_val[1].value == 0.25);
    FORGET(lmn_rpc_settings, &read_list);
    KEEPS(lmn_rpc_reply, "peer_reply", &reply, &read_reply);
    assert_int_equal(read_reply.code, -3);
    assert_string_equal(read_reply.text, "no such machine");
    FORGET(lmn_rpc_reply, &read_reply);
    KEEPS(lmn_rpc_set_request, "peer_set_request", &set, &read_set);
    assert_string_equal(read_set.name, "horizon_s");
    assert_true(read_set.value == 45.5);
    FORGET(lmn_rpc_set_request, &read_set);
    KEEPS(lmn_rpc_machine_request, "peer_machine_request", &drain, &read_drain);
    assert_string_equal(read_drain.machine, "host-000001");
    FORGET(lmn_rpc_machine_request, &read_drain);
}

static void steal_request_keeps_its_bytes(void **state)
{
    lmn_rpc_capacity rooms[] = {{text("x"), text("a"), TRUE, 8, 1, 64.5},
                                {text("y-large"), text("b"), FALSE, 96, 0, 384}};
    lmn_rpc_team_quota teams[] = {{text("ml train"), 12.5, 2}};
    lmn_rpc_steal_request thief = {1, 3, {2, rooms}, {1, teams}}, read;
    (void)state;

    KEEPS(lmn_rpc_steal_request, "peer_thief", &thief, &read);
    assert_int_equal(read.thief, 1);
    assert_int_equal(read.victim, 3);
    assert_int_equal(read.capacities.capacities_len, 2);
    const lmn_rpc_capacity *r = read.capacities.capacities_val;
    assert_string_equal(r[0].type, "x");
    assert_string_equal(r[0].zone, "a");
    assert_true(r[0].is_spot && r[0].cpus == 8 && r[0].gpus == 1 &&
                r[0].memory_gb == 64.5);
    assert_true(!r[1].is_spot && r[1].cpus == 96 && r[1].gpus == 0 &&
                r[1].memory_gb == 384);
    assert_int_equal(read.teams.teams_len, 1);
    assert_string_equal(read.teams.teams_val[0].name, "ml train");
    assert_true(read.teams.teams_val[0].cpus == 12.5);
    assert_true(read.teams.teams_val[0].gpus == 2);
    FORGET(lmn_rpc_steal_request, &read);
}

static void quota_request_keeps_its_bytes(void **state)
{
    lmn_rpc_quota_request quota = {2, 0, text("ml train"), 20, 4, 1.5, 1}, read;
    (void)state;

    KEEPS(lmn_rpc_quota_request, "peer_quota", &quota, &read);
    assert_int_equal(read.thief, 2);
    assert_int_equal(read.victim, 0);
    assert_string_equal(read.team, "ml train");
    assert_true(read.cpus == 20 && read.gpus == 4);
    assert_true(read.least_cpus == 1.5 && read.least_gpus == 1);
    FORGET(lmn_rpc_quota_request, &read);
}

static void check_said(const lmn_rpc_gossip *s)
{
    assert_string_equal(s->member, "nc");
    assert_true(s->incarnation == 0x100000002ULL);
    assert_true(s->last_contact_age_s == 0.75 && s->unanswered_age_s == -1);
    assert_int_equal(s->redirected_workers, 4);
}

static void question_and_answer_of_members_keep_their_bytes(void **state)
{
    lmn_rpc_gossip said[] = {{text("nc"), 0x100000002ULL, 0.75, -1, 4}};
    lmn_rpc_probe ask = {text("na"), text("nc"), {0.125, 0.5, 0.25}, {1, said}}, read;
    lmn_rpc_probe_reply answer = {{0.125, 0.5, 0.25}, {1, said}}, read_answer;
    (void)state;

    KEEPS(lmn_rpc_probe, "peer_ask", &ask, &read);
    assert_string_equal(read.from, "na");
    assert_string_equal(read.about, "nc");
    assert_true(read.health.delay_s == 0.125 && read.health.cache_age_s == 0.5);
    assert_true(read.health.silent_machine_share == 0.25);
    assert_int_equal(read.gossip.gossip_len, 1);
    check_said(read.gossip.gossip_val);
    FORGET(lmn_rpc_probe, &read);
    KEEPS(lmn_rpc_probe_reply, "peer_answer", &answer, &read_answer);
    assert_true(read_answer.health.delay_s == 0.125 &&
                read_answer.health.cache_age_s == 0.5);
    assert_true(read_answer.health.silent_machine_share == 0.25);
    assert_int_equal(read_answer.gossip.gossip_len, 1);
    check_said(read_answer.gossip.gossip_val);
    FORGET(lmn_rpc_probe_reply, &read_answer);
}

static void batch_for_a_standby_keeps_its_bytes(void **state)
{
    lmn_rpc_attempt attempts[] = {{text("run-000412"), 7, 0x2a00000001ULL, 0},
                                  {text("run-000412"), 8, 0x2a00000002ULL, 3}};
    lmn_rpc_image images[] = {{text("base:1"), 1.25, TRUE}};
    lmn_rpc_machine machines[] = {
        {text("host-000001"), 99, 4, {2, attempts}, {1, images}},
        {text("host-000002"), 0, 2, {0, NULL}, {0, NULL}}};
    lmn_rpc_replication_batch batch = {1, 42, 0x2a00003ULL, 17, {2, machines}}, read;
    (void)state;

    KEEPS(lmn_rpc_replication_batch, "peer_batch", &batch, &read);
    assert_int_equal(read.partition, 1);
    assert_int_equal(read.epoch, 42);
    assert_int_equal(read.stream, 0x2a00003ULL);
    assert_int_equal(read.number, 17);
    assert_int_equal(read.machines.machines_len, 2);
    const lmn_rpc_machine *machine = read.machines.machines_val;
    assert_string_equal(machine[0].name, "host-000001");
    assert_int_equal(machine[0].agent_incarnation, 99);
    assert_int_equal(machine[0].state, 4);
    assert_int_equal(machine[0].attempts.attempts_len, 2);
    const lmn_rpc_attempt *attempt = &machine[0].attempts.attempts_val[1];
    assert_string_equal(attempt->job_id, "run-000412");
    assert_int_equal(attempt->index, 8);
    assert_true(attempt->number == 0x2a00000002ULL);
    assert_int_equal(attempt->state, 3);
    assert_int_equal(machine[0].images.images_len, 1);
    assert_string_equal(machine[0].images.images_val[0].name, "base:1");
    assert_true(machine[0].images.images_val[0].gb == 1.25);
    assert_true(machine[0].images.images_val[0].is_present);
    assert_string_equal(machine[1].name, "host-000002");
    assert_int_equal(machine[1].state, 2);
    assert_int_equal(machine[1].attempts.attempts_len, 0);
    FORGET(lmn_rpc_replication_batch, &read);
}

static void tombstones_keep_their_bytes(void **state)
{
    lmn_rpc_job_id refs[] = {{text("run-000412")}, {text("run-7")}};
    lmn_rpc_tombstones stones = {{2, refs}}, read;
    (void)state;

    KEEPS(lmn_rpc_tombstones, "peer_tombstones", &stones, &read);
    assert_int_equal(read.jobs.jobs_len, 2);
    assert_string_equal(read.jobs.jobs_val[0].job_id, "run-000412");
    assert_string_equal(read.jobs.jobs_val[1].job_id, "run-7");
    FORGET(lmn_rpc_tombstones, &read);
}

/* --- gateways --- */

static void request_keeps(const char *name, lmn_gateway_rpc_request *q,
                          lmn_gateway_rpc_request *read)
{
    KEEPS(lmn_gateway_rpc_request, name, q, read);
    FORGET(lmn_gateway_rpc_request, read);
    GByteArray *b = golden_read(name);
    assert_int_equal(lmn_frame_request((const char *)b->data, b->len, read), 0);
    g_byte_array_unref(b);
    assert_int_equal(read->kind, q->kind);
}

static void response_keeps(const char *name, lmn_gateway_rpc_response *r,
                           lmn_gateway_rpc_response *read)
{
    KEEPS(lmn_gateway_rpc_response, name, r, read);
    FORGET(lmn_gateway_rpc_response, read);
    GByteArray *b = golden_read(name);
    assert_int_equal(lmn_frame_response((const char *)b->data, b->len, read), 0);
    g_byte_array_unref(b);
    assert_int_equal(read->kind, r->kind);
}

static void check_hello(const lmn_gateway_rpc_hello *h)
{
    assert_string_equal(h->site, "north");
    assert_string_equal(h->gateway, "gw-1");
    assert_int_equal(h->protocol, 3);
    assert_int_equal(h->incarnation, 5);
    assert_int_equal(h->serial, 6);
    assert_int_equal(h->crl.crl_len, 5);
    assert_memory_equal(h->crl.crl_val, "\x30\x03\x02\x01\x07", 5);
}

static void check_item(const lmn_gateway_rpc_item *i, const char *ref)
{
    assert_string_equal(i->ref, ref);
    assert_int_equal(i->epoch, 9);
    assert_int_equal(i->incarnation, 5);
    assert_int_equal(i->word, 2);
    assert_int_equal(i->outcome, 1);
    assert_int_equal(i->done, 40);
    assert_int_equal(i->running, 3);
}

static void kinds_of_gateway_messages_keep_their_numbers(void **state)
{
    (void)state;
    assert_int_equal(LMN_GATEWAY_RPC_HELLO, 1);
    assert_int_equal(LMN_GATEWAY_RPC_SYNC, 2);
    assert_int_equal(LMN_GATEWAY_RPC_LOAD, 3);
    assert_int_equal(LMN_GATEWAY_RPC_BLOB, 4);
}

static void requests_between_gateways_keep_their_bytes(void **state)
{
    lmn_gateway_rpc_item says[] = {{text("run-000412"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_request q = {.kind = LMN_GATEWAY_RPC_HELLO}, read;
    (void)state;

    q.lmn_gateway_rpc_request_u.hello = (lmn_gateway_rpc_hello){
        text("north"), text("gw-1"), 3, 5, 6, {5, text("\x30\x03\x02\x01\x07")}};
    request_keeps("gateway_hello", &q, &read);
    check_hello(&read.lmn_gateway_rpc_request_u.hello);
    FORGET(lmn_gateway_rpc_request, &read);
    q.kind = LMN_GATEWAY_RPC_SYNC;
    q.lmn_gateway_rpc_request_u.sync = (lmn_gateway_rpc_sync){{1, says}, 120.5, 8, 32};
    request_keeps("gateway_sync", &q, &read);
    const lmn_gateway_rpc_sync *sync = &read.lmn_gateway_rpc_request_u.sync;
    assert_int_equal(sync->says.says_len, 1);
    check_item(sync->says.says_val, "run-000412");
    assert_true(sync->room_cpus == 120.5 && sync->room_gpus == 8);
    assert_int_equal(sync->most, 32);
    FORGET(lmn_gateway_rpc_request, &read);
    q.kind = LMN_GATEWAY_RPC_LOAD;
    request_keeps("gateway_load", &q, &read);
    q.kind = LMN_GATEWAY_RPC_BLOB;
    q.lmn_gateway_rpc_request_u.digest = text("00ff17");
    request_keeps("gateway_blob", &q, &read);
    assert_string_equal(read.lmn_gateway_rpc_request_u.digest, "00ff17");
    FORGET(lmn_gateway_rpc_request, &read);
}

static void responses_between_gateways_keep_their_bytes(void **state)
{
    lmn_gateway_rpc_item heard[] = {{text("run-1"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_item resolve[] = {{text("run-2"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_item cancel[] = {{text("run-3"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_offer offers[] = {
        {text("run-4"), 10, 5, {3, text("\xa1\x61\x61")}, text("00ff17"), 600.5}};
    lmn_gateway_rpc_response r = {.kind = LMN_GATEWAY_RPC_HELLO}, read;
    (void)state;

    r.lmn_gateway_rpc_response_u.hello = (lmn_gateway_rpc_hello){
        text("north"), text("gw-1"), 3, 5, 6, {5, text("\x30\x03\x02\x01\x07")}};
    response_keeps("gateway_hello_response", &r, &read);
    check_hello(&read.lmn_gateway_rpc_response_u.hello);
    FORGET(lmn_gateway_rpc_response, &read);
    r.kind = LMN_GATEWAY_RPC_SYNC;
    r.lmn_gateway_rpc_response_u.reply = (lmn_gateway_rpc_reply){
        {1, heard}, {1, resolve}, {1, cancel}, {1, offers}, 7200.25};
    response_keeps("gateway_sync_response", &r, &read);
    const lmn_gateway_rpc_reply *reply = &read.lmn_gateway_rpc_response_u.reply;
    assert_int_equal(reply->heard.heard_len, 1);
    check_item(reply->heard.heard_val, "run-1");
    assert_int_equal(reply->resolve.resolve_len, 1);
    check_item(reply->resolve.resolve_val, "run-2");
    assert_int_equal(reply->cancel.cancel_len, 1);
    check_item(reply->cancel.cancel_val, "run-3");
    assert_int_equal(reply->offers.offers_len, 1);
    const lmn_gateway_rpc_offer *offer = reply->offers.offers_val;
    assert_string_equal(offer->ref, "run-4");
    assert_int_equal(offer->epoch, 10);
    assert_int_equal(offer->incarnation, 5);
    assert_int_equal(offer->spec.spec_len, 3);
    assert_memory_equal(offer->spec.spec_val, "\xa1\x61\x61", 3);
    assert_string_equal(offer->digest, "00ff17");
    assert_true(offer->leash_s == 600.5 && reply->queued_cpu_s == 7200.25);
    FORGET(lmn_gateway_rpc_response, &read);
    r.kind = LMN_GATEWAY_RPC_LOAD;
    r.lmn_gateway_rpc_response_u.queued_cpu_s = 7200.25;
    response_keeps("gateway_load_response", &r, &read);
    assert_true(read.lmn_gateway_rpc_response_u.queued_cpu_s == 7200.25);
    r.kind = LMN_GATEWAY_RPC_BLOB;
    r.lmn_gateway_rpc_response_u.blob.blob_len = 5;
    r.lmn_gateway_rpc_response_u.blob.blob_val = text("hello");
    response_keeps("gateway_blob_response", &r, &read);
    assert_int_equal(read.lmn_gateway_rpc_response_u.blob.blob_len, 5);
    assert_memory_equal(read.lmn_gateway_rpc_response_u.blob.blob_val, "hello", 5);
    FORGET(lmn_gateway_rpc_response, &read);
    r.kind = 0;
    r.lmn_gateway_rpc_response_u.error = text("not a peer");
    response_keeps("gateway_error_response", &r, &read);
    assert_string_equal(read.lmn_gateway_rpc_response_u.error, "not a peer");
    FORGET(lmn_gateway_rpc_response, &read);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(procedures_of_controllers_keep_their_numbers),
        cmocka_unit_test(administration_messages_keep_their_bytes),
        cmocka_unit_test(steal_request_keeps_its_bytes),
        cmocka_unit_test(quota_request_keeps_its_bytes),
        cmocka_unit_test(question_and_answer_of_members_keep_their_bytes),
        cmocka_unit_test(batch_for_a_standby_keeps_its_bytes),
        cmocka_unit_test(tombstones_keep_their_bytes),
        cmocka_unit_test(kinds_of_gateway_messages_keep_their_numbers),
        cmocka_unit_test(requests_between_gateways_keep_their_bytes),
        cmocka_unit_test(responses_between_gateways_keep_their_bytes),
    };
    return golden_end(cmocka_run_group_tests(tests, NULL, NULL));
}
