/* Guards against changes in the XDR encoding of messages between controllers and between
 * gateways, which processes of different builds exchange during an upgrade. Each golden
 * message is decoded, its fields are checked, and it is encoded again to the same bytes.
 */
#include "golden.h"

#include "gateway/peer_connection.h"

#include "gateway_rpc.h"
#include "controller_rpc.h"

/* --- XDR --- */

static void assert_encodes_to_golden(const char *name, xdrproc_t filter, void *message)
{
    char *buffer = g_malloc(65536);
    XDR xdr;

    xdrmem_create(&xdr, buffer, 65536, XDR_ENCODE);
    assert_true(filter(&xdr, message, 0));
    golden_assert_equal(name, buffer, xdr_getpos(&xdr));
    xdr_destroy(&xdr);
    g_free(buffer);
}

/* Asserts that the message is encoded as the golden bytes, and that these are decoded
 * into *read, which is encoded as the golden bytes again. */
static void round_trip_keeps_bytes(const char *name, xdrproc_t filter, void *message,
                                   void *read, size_t size)
{
    XDR xdr;

    assert_encodes_to_golden(name, filter, message);
    GByteArray *bytes = golden_read(name);
    memset(read, 0, size);
    xdrmem_create(&xdr, (char *)bytes->data, bytes->len, XDR_DECODE);
    assert_true(filter(&xdr, read, 0));
    assert_int_equal(xdr_getpos(&xdr), bytes->len);
    xdr_destroy(&xdr);
    g_byte_array_unref(bytes);
    assert_encodes_to_golden(name, filter, read);
}

#define ROUND_TRIP_KEEPS_BYTES(type, name, message, read)                                \
    round_trip_keeps_bytes(name, (xdrproc_t)xdr_##type, message, read, sizeof(type))
#define FREE_DECODED(type, read) xdr_free((xdrproc_t)xdr_##type, read)

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
    assert_int_equal(LMN_RPC_UNSCHEDULABLE, 15);
}

static void administration_messages_keep_their_bytes(void **state)
{
    lmn_rpc_setting items[] = {{text("sample"), 12}, {text("share"), 0.25}};
    lmn_rpc_settings list = {{2, items}}, read_list;
    lmn_rpc_reply reply = {-3, text("no such machine")}, read_reply;
    lmn_rpc_set_request set = {text("horizon_s"), 45.5}, read_set;
    lmn_rpc_machine_request drain = {text("host-000001")}, read_drain;
    (void)state;

    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_settings, "peer_tuning_list", &list, &read_list);
    assert_int_equal(read_list.items.items_len, 2);
    assert_string_equal(read_list.items.items_val[1].name, "share");
    assert_true(read_list.items.items_val[1].value == 0.25);
    FREE_DECODED(lmn_rpc_settings, &read_list);
    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_reply, "peer_reply", &reply, &read_reply);
    assert_int_equal(read_reply.code, -3);
    assert_string_equal(read_reply.text, "no such machine");
    FREE_DECODED(lmn_rpc_reply, &read_reply);
    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_set_request, "peer_set_request", &set, &read_set);
    assert_string_equal(read_set.name, "horizon_s");
    assert_true(read_set.value == 45.5);
    FREE_DECODED(lmn_rpc_set_request, &read_set);
    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_machine_request, "peer_machine_request", &drain,
                           &read_drain);
    assert_string_equal(read_drain.machine, "host-000001");
    FREE_DECODED(lmn_rpc_machine_request, &read_drain);
}

static void steal_request_keeps_its_bytes(void **state)
{
    lmn_rpc_capacity capacities[] = {{text("x"), text("a"), TRUE, 8, 1, 64.5},
                                     {text("y-large"), text("b"), FALSE, 96, 0, 384}};
    lmn_rpc_team_quota teams[] = {{text("ml train"), 12.5, 2}};
    lmn_rpc_steal_request request = {1, 3, {2, capacities}, {1, teams}}, read;
    (void)state;

    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_steal_request, "peer_thief", &request, &read);
    assert_int_equal(read.thief, 1);
    assert_int_equal(read.victim, 3);
    assert_int_equal(read.capacities.capacities_len, 2);
    const lmn_rpc_capacity *read_capacities = read.capacities.capacities_val;
    assert_string_equal(read_capacities[0].type, "x");
    assert_string_equal(read_capacities[0].zone, "a");
    assert_true(read_capacities[0].is_spot && read_capacities[0].cpus == 8 &&
                read_capacities[0].gpus == 1 && read_capacities[0].memory_gb == 64.5);
    assert_true(!read_capacities[1].is_spot && read_capacities[1].cpus == 96 &&
                read_capacities[1].gpus == 0 && read_capacities[1].memory_gb == 384);
    assert_int_equal(read.teams.teams_len, 1);
    assert_string_equal(read.teams.teams_val[0].name, "ml train");
    assert_true(read.teams.teams_val[0].cpus == 12.5);
    assert_true(read.teams.teams_val[0].gpus == 2);
    FREE_DECODED(lmn_rpc_steal_request, &read);
}

static void quota_request_keeps_its_bytes(void **state)
{
    lmn_rpc_quota_request request = {2, 0, text("ml train"), 20, 4, 1.5, 1}, read;
    (void)state;

    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_quota_request, "peer_quota", &request, &read);
    assert_int_equal(read.thief, 2);
    assert_int_equal(read.victim, 0);
    assert_string_equal(read.team, "ml train");
    assert_true(read.cpus == 20 && read.gpus == 4);
    assert_true(read.least_cpus == 1.5 && read.least_gpus == 1);
    FREE_DECODED(lmn_rpc_quota_request, &read);
}

static void check_gossip(const lmn_rpc_gossip *gossip)
{
    assert_string_equal(gossip->member, "nc");
    assert_true(gossip->incarnation == 0x100000002ULL);
    assert_true(gossip->last_contact_age_s == 0.75 && gossip->unanswered_age_s == -1);
    assert_int_equal(gossip->redirected_workers, 4);
}

static void probe_and_reply_of_members_keep_their_bytes(void **state)
{
    lmn_rpc_gossip gossip[] = {{text("nc"), 0x100000002ULL, 0.75, -1, 4}};
    lmn_rpc_probe probe = {text("na"), text("nc"), {0.125, 0.5, 0.25}, {1, gossip}}, read;
    lmn_rpc_probe_reply reply = {{0.125, 0.5, 0.25}, {1, gossip}}, read_reply;
    (void)state;

    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_probe, "peer_ask", &probe, &read);
    assert_string_equal(read.from, "na");
    assert_string_equal(read.about, "nc");
    assert_true(read.health.delay_s == 0.125 && read.health.cache_age_s == 0.5);
    assert_true(read.health.silent_machine_share == 0.25);
    assert_int_equal(read.gossip.gossip_len, 1);
    check_gossip(read.gossip.gossip_val);
    FREE_DECODED(lmn_rpc_probe, &read);
    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_probe_reply, "peer_answer", &reply, &read_reply);
    assert_true(read_reply.health.delay_s == 0.125 &&
                read_reply.health.cache_age_s == 0.5);
    assert_true(read_reply.health.silent_machine_share == 0.25);
    assert_int_equal(read_reply.gossip.gossip_len, 1);
    check_gossip(read_reply.gossip.gossip_val);
    FREE_DECODED(lmn_rpc_probe_reply, &read_reply);
}

static void replication_batch_keeps_its_bytes(void **state)
{
    lmn_rpc_attempt attempts[] = {{text("run-000412"), 7, 0x2a00000001ULL, 0},
                                  {text("run-000412"), 8, 0x2a00000002ULL, 3}};
    lmn_rpc_image images[] = {{text("base:1"), 1.25, TRUE}};
    lmn_rpc_machine machines[] = {
        {text("host-000001"), 99, 4, {2, attempts}, {1, images}},
        {text("host-000002"), 0, 2, {0, NULL}, {0, NULL}}};
    lmn_rpc_replication_batch batch = {1, 42, 0x2a00003ULL, 17, {2, machines}}, read;
    (void)state;

    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_replication_batch, "peer_batch", &batch, &read);
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
    FREE_DECODED(lmn_rpc_replication_batch, &read);
}

static void tombstones_keep_their_bytes(void **state)
{
    lmn_rpc_job_id job_ids[] = {{text("run-000412")}, {text("run-7")}};
    lmn_rpc_tombstones tombstones = {{2, job_ids}}, read;
    (void)state;

    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_tombstones, "peer_tombstones", &tombstones, &read);
    assert_int_equal(read.jobs.jobs_len, 2);
    assert_string_equal(read.jobs.jobs_val[0].job_id, "run-000412");
    assert_string_equal(read.jobs.jobs_val[1].job_id, "run-7");
    FREE_DECODED(lmn_rpc_tombstones, &read);
}

static void unschedulable_lists_keep_their_bytes(void **state)
{
    lmn_rpc_zone zones[] = {{text("a")}, {text("b")}};
    lmn_rpc_unschedulable items[] = {{text("run-000412"), 3, 42.5, {2, zones}},
                                     {text("run-7"), 1, 31, {0, NULL}}};
    lmn_rpc_unschedulable_list list = {2, 0x2a00000001ULL, {2, items}}, read;
    (void)state;

    ROUND_TRIP_KEEPS_BYTES(lmn_rpc_unschedulable_list, "peer_unschedulable", &list,
                           &read);
    assert_int_equal(read.partition, 2);
    assert_true(read.epoch == 0x2a00000001ULL);
    assert_int_equal(read.items.items_len, 2);
    const lmn_rpc_unschedulable *item = read.items.items_val;
    assert_string_equal(item[0].job_id, "run-000412");
    assert_int_equal(item[0].tasks, 3);
    assert_true(item[0].waited_s == 42.5);
    assert_int_equal(item[0].zones.zones_len, 2);
    assert_string_equal(item[0].zones.zones_val[1].name, "b");
    assert_string_equal(item[1].job_id, "run-7");
    assert_int_equal(item[1].zones.zones_len, 0);
    FREE_DECODED(lmn_rpc_unschedulable_list, &read);
}

/* --- gateways --- */

static void request_keeps_bytes(const char *name, lmn_gateway_rpc_request *request,
                                lmn_gateway_rpc_request *read)
{
    ROUND_TRIP_KEEPS_BYTES(lmn_gateway_rpc_request, name, request, read);
    FREE_DECODED(lmn_gateway_rpc_request, read);
    GByteArray *bytes = golden_read(name);
    assert_int_equal(lmn_frame_request((const char *)bytes->data, bytes->len, read), 0);
    g_byte_array_unref(bytes);
    assert_int_equal(read->kind, request->kind);
}

static void response_keeps_bytes(const char *name, lmn_gateway_rpc_response *response,
                                 lmn_gateway_rpc_response *read)
{
    ROUND_TRIP_KEEPS_BYTES(lmn_gateway_rpc_response, name, response, read);
    FREE_DECODED(lmn_gateway_rpc_response, read);
    GByteArray *bytes = golden_read(name);
    assert_int_equal(lmn_frame_response((const char *)bytes->data, bytes->len, read), 0);
    g_byte_array_unref(bytes);
    assert_int_equal(read->kind, response->kind);
}

static void check_hello(const lmn_gateway_rpc_hello *hello)
{
    assert_string_equal(hello->site, "north");
    assert_string_equal(hello->gateway, "gw-1");
    assert_int_equal(hello->protocol, 3);
    assert_int_equal(hello->incarnation, 5);
    assert_int_equal(hello->serial, 6);
    assert_int_equal(hello->crl.crl_len, 5);
    assert_memory_equal(hello->crl.crl_val, "\x30\x03\x02\x01\x07", 5);
}

static void check_item(const lmn_gateway_rpc_item *item, const char *ref)
{
    assert_string_equal(item->ref, ref);
    assert_int_equal(item->epoch, 9);
    assert_int_equal(item->incarnation, 5);
    assert_int_equal(item->word, 2);
    assert_int_equal(item->outcome, 1);
    assert_int_equal(item->done, 40);
    assert_int_equal(item->running, 3);
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
    lmn_gateway_rpc_item items[] = {{text("run-000412"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_request request = {.kind = LMN_GATEWAY_RPC_HELLO}, read;
    (void)state;

    request.lmn_gateway_rpc_request_u.hello = (lmn_gateway_rpc_hello){
        text("north"), text("gw-1"), 3, 5, 6, {5, text("\x30\x03\x02\x01\x07")}};
    request_keeps_bytes("gateway_hello", &request, &read);
    check_hello(&read.lmn_gateway_rpc_request_u.hello);
    FREE_DECODED(lmn_gateway_rpc_request, &read);
    request.kind = LMN_GATEWAY_RPC_SYNC;
    request.lmn_gateway_rpc_request_u.sync =
        (lmn_gateway_rpc_sync){{1, items}, 120.5, 8, 32};
    request_keeps_bytes("gateway_sync", &request, &read);
    const lmn_gateway_rpc_sync *sync = &read.lmn_gateway_rpc_request_u.sync;
    assert_int_equal(sync->says.says_len, 1);
    check_item(sync->says.says_val, "run-000412");
    assert_true(sync->room_cpus == 120.5 && sync->room_gpus == 8);
    assert_int_equal(sync->most, 32);
    FREE_DECODED(lmn_gateway_rpc_request, &read);
    request.kind = LMN_GATEWAY_RPC_LOAD;
    request_keeps_bytes("gateway_load", &request, &read);
    request.kind = LMN_GATEWAY_RPC_BLOB;
    request.lmn_gateway_rpc_request_u.digest = text("00ff17");
    request_keeps_bytes("gateway_blob", &request, &read);
    assert_string_equal(read.lmn_gateway_rpc_request_u.digest, "00ff17");
    FREE_DECODED(lmn_gateway_rpc_request, &read);
}

static void responses_between_gateways_keep_their_bytes(void **state)
{
    lmn_gateway_rpc_item heard[] = {{text("run-1"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_item resolve[] = {{text("run-2"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_item cancel[] = {{text("run-3"), 9, 5, 2, 1, 40, 3}};
    lmn_gateway_rpc_offer offers[] = {
        {text("run-4"), 10, 5, {3, text("\xa1\x61\x61")}, text("00ff17"), 600.5}};
    lmn_gateway_rpc_response response = {.kind = LMN_GATEWAY_RPC_HELLO}, read;
    (void)state;

    response.lmn_gateway_rpc_response_u.hello = (lmn_gateway_rpc_hello){
        text("north"), text("gw-1"), 3, 5, 6, {5, text("\x30\x03\x02\x01\x07")}};
    response_keeps_bytes("gateway_hello_response", &response, &read);
    check_hello(&read.lmn_gateway_rpc_response_u.hello);
    FREE_DECODED(lmn_gateway_rpc_response, &read);
    response.kind = LMN_GATEWAY_RPC_SYNC;
    response.lmn_gateway_rpc_response_u.reply = (lmn_gateway_rpc_reply){
        {1, heard}, {1, resolve}, {1, cancel}, {1, offers}, 7200.25};
    response_keeps_bytes("gateway_sync_response", &response, &read);
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
    FREE_DECODED(lmn_gateway_rpc_response, &read);
    response.kind = LMN_GATEWAY_RPC_LOAD;
    response.lmn_gateway_rpc_response_u.queued_cpu_s = 7200.25;
    response_keeps_bytes("gateway_load_response", &response, &read);
    assert_true(read.lmn_gateway_rpc_response_u.queued_cpu_s == 7200.25);
    response.kind = LMN_GATEWAY_RPC_BLOB;
    response.lmn_gateway_rpc_response_u.blob.blob_len = 5;
    response.lmn_gateway_rpc_response_u.blob.blob_val = text("hello");
    response_keeps_bytes("gateway_blob_response", &response, &read);
    assert_int_equal(read.lmn_gateway_rpc_response_u.blob.blob_len, 5);
    assert_memory_equal(read.lmn_gateway_rpc_response_u.blob.blob_val, "hello", 5);
    FREE_DECODED(lmn_gateway_rpc_response, &read);
    response.kind = 0;
    response.lmn_gateway_rpc_response_u.error = text("not a peer");
    response_keeps_bytes("gateway_error_response", &response, &read);
    assert_string_equal(read.lmn_gateway_rpc_response_u.error, "not a peer");
    FREE_DECODED(lmn_gateway_rpc_response, &read);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(procedures_of_controllers_keep_their_numbers),
        cmocka_unit_test(administration_messages_keep_their_bytes),
        cmocka_unit_test(steal_request_keeps_its_bytes),
        cmocka_unit_test(quota_request_keeps_its_bytes),
        cmocka_unit_test(probe_and_reply_of_members_keep_their_bytes),
        cmocka_unit_test(replication_batch_keeps_its_bytes),
        cmocka_unit_test(tombstones_keep_their_bytes),
        cmocka_unit_test(unschedulable_lists_keep_their_bytes),
        cmocka_unit_test(kinds_of_gateway_messages_keep_their_numbers),
        cmocka_unit_test(requests_between_gateways_keep_their_bytes),
        cmocka_unit_test(responses_between_gateways_keep_their_bytes),
    };
    return golden_exit_status(cmocka_run_group_tests(tests, NULL, NULL));
}
