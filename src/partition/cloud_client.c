/* Client of the cloud's HTTP API. It touches no shared state and needs no lock. */
#include "partition/cloud_client.h"

#include "protocol/wire.h"
#include "util/log.h"

/* Time-outs of the requests to the cloud, in seconds. */
static const double TYPES_TIMEOUT_S = 3.0, LIST_TIMEOUT_S = 4.0, RENT_TIMEOUT_S = 4.0,
                    RETURN_TIMEOUT_S = 5.0;

enum { LIST_PATH_SIZE = 256 }; /* bytes */

/* The most entries on a page of the machine list, as text for the query. */
#define LIST_PAGE_ENTRIES "500"

struct lmn_cloud_client lmn_cloud_client_new(const char *address)
{
    return (struct lmn_cloud_client){.http = lmn_http_client_new(address),
                                     .response = g_byte_array_new()};
}

/* Sends a GET request and parses the response. The document is freed by the caller if
 * true is returned. */
static bool get_document(struct lmn_cloud_client *client, const char *path,
                         double timeout_s, struct lmn_cbor_document *document)
{
    return lmn_http_client_call(client->http, "GET", path, NULL, timeout_s,
                                client->response) == 200 &&
           lmn_cbor_parse(document, client->response->data, client->response->len) == 0;
}

/* --- machine types --- */

bool lmn_cloud_client_get_types(struct lmn_cloud_client *client,
                                struct lmn_cbor_document *document,
                                const struct lmn_cbor_value **types)
{
    if (!get_document(client, WIRE_PATH_MACHINE_TYPES, TYPES_TIMEOUT_S, document))
        return false;
    *types = lmn_cbor_get(document, lmn_cbor_root(document), WIRE_MACHINE_TYPES);
    return true;
}

bool lmn_cloud_parse_type_name(const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *node, char *name, size_t size)
{
    return lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_TYPE_NAME), name, size);
}

void lmn_cloud_parse_type(struct lmn_machine_type *type,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *node)
{
    const struct lmn_cbor_value *zones = lmn_cbor_get(document, node, WIRE_ZONES);

    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_CPUS), &type->cpus);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_GPUS), &type->gpus);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_MEMORY_GB), &type->memory_gb);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_CACHE_GB), &type->cache_gb);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_PULL_GB_PER_S),
                        &type->pull_gb_per_s);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_PRICE), &type->price_per_hour);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_SPOT_PRICE),
                        &type->spot_price_per_hour);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_BOOT_S), &type->boot_s);
    type->zone_count = 0;
    for (const struct lmn_cbor_value *zone = lmn_cbor_first_child(document, zones);
         zone && type->zone_count < LMN_MAX_ZONES; zone = lmn_cbor_next(document, zone))
        if (lmn_cbor_get_text(zone, type->zones[type->zone_count], LMN_NAME_SIZE))
            type->zone_count++;
}

/* --- returns --- */

bool lmn_cloud_client_return(struct lmn_cloud_client *client, const GPtrArray *names)
{
    g_autoptr(GByteArray) body = g_byte_array_new();

    lmn_cbor_put_map(body, 1);
    lmn_cbor_put_text(body, WIRE_MACHINES);
    lmn_cbor_put_array(body, names->len);
    for (guint i = 0; i < names->len; i++)
        lmn_cbor_put_text(body, names->pdata[i]);
    int status = lmn_http_client_call(client->http, "POST", WIRE_PATH_RETURN, body,
                                      RETURN_TIMEOUT_S, client->response);
    lmn_info("machines_released count=%u first=%s status=%d", names->len,
             (const char *)names->pdata[0], status);
    return status == 200;
}

/* --- rentals --- */

/* The body of a request for machines; freed by the caller. */
static GByteArray *encode_rental_request(const char *request_id,
                                         const struct lmn_provision_request *request)
{
    GByteArray *body = g_byte_array_new();

    lmn_cbor_put_map(body, 5);
    lmn_cbor_put_text(body, WIRE_REQUEST_ID);
    lmn_cbor_put_text(body, request_id);
    lmn_cbor_put_text(body, WIRE_MACHINE_TYPE);
    lmn_cbor_put_text(body, request->type);
    lmn_cbor_put_text(body, WIRE_ZONE);
    lmn_cbor_put_text(body, request->zone);
    lmn_cbor_put_text(body, WIRE_SPOT);
    lmn_cbor_put_bool(body, request->is_spot);
    lmn_cbor_put_text(body, WIRE_COUNT);
    lmn_cbor_put_uint(body, request->count);
    return body;
}

/* Appends the names of the rented machines to `names`. Returns false if the response
 * can't be parsed. */
static bool parse_rented_machines(const GByteArray *response, GPtrArray *names)
{
    struct lmn_cbor_document document;
    char name[LMN_NAME_SIZE];

    if (lmn_cbor_parse(&document, response->data, response->len) != 0)
        return false;
    const struct lmn_cbor_value *list =
        lmn_cbor_get(&document, lmn_cbor_root(&document), WIRE_MACHINES);
    for (const struct lmn_cbor_value *node = lmn_cbor_first_child(&document, list); node;
         node = lmn_cbor_next(&document, node))
        if (lmn_cbor_get_text(node, name, sizeof name))
            g_ptr_array_add(names, g_strdup(name));
    lmn_cbor_free(&document);
    return true;
}

/* Whether the response names missing capacity as the error. */
static bool is_no_capacity_error(const GByteArray *response)
{
    struct lmn_cbor_document document;

    if (lmn_cbor_parse(&document, response->data, response->len) != 0)
        return false;
    bool no_capacity = lmn_cbor_text_equals(
        lmn_cbor_get(&document, lmn_cbor_root(&document), "error"), "no capacity");
    lmn_cbor_free(&document);
    return no_capacity;
}

enum lmn_cloud_rental_outcome
lmn_cloud_client_rent(struct lmn_cloud_client *client, const char *request_id,
                      const struct lmn_provision_request *request, GPtrArray *names,
                      int *status)
{
    g_autoptr(GByteArray) body = encode_rental_request(request_id, request);

    *status = lmn_http_client_call(client->http, "POST", WIRE_PATH_MACHINES, body,
                                   RENT_TIMEOUT_S, client->response);
    if (*status == 200 && parse_rented_machines(client->response, names))
        return LMN_CLOUD_RENTED;
    if (*status == 400 || (*status == 503 && is_no_capacity_error(client->response)))
        return LMN_CLOUD_REFUSED;
    return *status == 503 ? LMN_CLOUD_UNAVAILABLE : LMN_CLOUD_UNKNOWN;
}

/* --- the machine list --- */

bool lmn_cloud_client_get_list(struct lmn_cloud_client *client, const char *after,
                               struct lmn_cbor_document *document,
                               const struct lmn_cbor_value **machines, bool *has_more)
{
    char path[LIST_PATH_SIZE];

    if (*after)
        g_snprintf(path, sizeof path,
                   WIRE_PATH_MACHINES "?" WIRE_QUERY_AFTER "=%s&" WIRE_QUERY_LIMIT
                                      "=" LIST_PAGE_ENTRIES,
                   after);
    else
        g_snprintf(path, sizeof path,
                   WIRE_PATH_MACHINES "?" WIRE_QUERY_LIMIT "=" LIST_PAGE_ENTRIES);
    if (!get_document(client, path, LIST_TIMEOUT_S, document))
        return false;
    *machines = lmn_cbor_get(document, lmn_cbor_root(document), WIRE_MACHINES);
    *has_more = false;
    lmn_cbor_get_bool(lmn_cbor_get(document, lmn_cbor_root(document), WIRE_HAS_MORE),
                      has_more);
    /* An empty page is the last one, whatever its has_more field says: it names no
     * machine after which the next page could begin, so the same page would be requested
     * for ever. */
    if (!*machines || !(*machines)->len)
        *has_more = false;
    return true;
}

bool lmn_cloud_parse_list_entry(struct lmn_cloud_list_entry *entry,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *node)
{
    const struct lmn_cbor_value *state = lmn_cbor_get(document, node, WIRE_STATE);

    *entry = (struct lmn_cloud_list_entry){.age_s = 0};
    if (!lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_JOB_ID), entry->name,
                           sizeof entry->name))
        return false;
    entry->has_type = lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_MACHINE_TYPE),
                                        entry->type, sizeof entry->type);
    entry->has_zone = lmn_cbor_get_text(lmn_cbor_get(document, node, WIRE_ZONE),
                                        entry->zone, sizeof entry->zone);
    entry->has_spot =
        lmn_cbor_get_bool(lmn_cbor_get(document, node, WIRE_SPOT), &entry->is_spot);
    lmn_cbor_get_number(lmn_cbor_get(document, node, WIRE_AGE_S), &entry->age_s);
    entry->is_booting = lmn_cbor_text_equals(state, WIRE_BOOTING);
    entry->is_broken = lmn_cbor_text_equals(state, WIRE_BROKEN);
    return true;
}
