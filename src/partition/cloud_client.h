/** @file
 * The client of the cloud's API: one function for each call, with typed results.
 *
 * It knows the layout of the requests and responses, and nothing of when to call: that is
 * the provisioner's. It touches no shared state and needs no lock; each client belongs to
 * one thread. */
#ifndef LMN_PARTITION_CLOUD_CLIENT_H
#define LMN_PARTITION_CLOUD_CLIENT_H

#include "http/client.h"
#include "job/job_spec.h"
#include "protocol/cbor.h"
#include "scheduler/autoscaler.h"

/** Most machines that one call returns. */
enum { LMN_CLOUD_MAX_RETURNED = 100 };

/** A client of the cloud's API. */
struct lmn_cloud_client {
    struct lmn_http_client *http;
    GByteArray *answer; /**< of the last call */
};

/** What became of a request for machines. */
enum lmn_cloud_rental_outcome {
    LMN_CLOUD_RENTED,  /**< of the machines asked for, some or all */
    LMN_CLOUD_REFUSED, /**< surely none: there is no capacity, or the request is invalid
                        */
    LMN_CLOUD_UNAVAILABLE, /**< surely none yet: the same request should be repeated */
    LMN_CLOUD_UNKNOWN      /**< perhaps some: only the same request can tell */
};

/** A machine's entry in the cloud's list. */
struct lmn_cloud_list_entry {
    char name[LMN_NAME_SIZE], type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool has_type, has_zone, has_spot; /**< the entry says so */
    bool is_spot, is_booting, is_broken;
    double age_s;
};

/** A client of the API at that address; lives as long as its thread. */
struct lmn_cloud_client lmn_cloud_client_new(const char *address);

/** Reads the machine types.
 * @param document points into the client's answer until the next call; freed by the
 * caller if true is returned
 * @param types set to the list of types, for lmn_cloud_parse_type */
bool lmn_cloud_client_get_types(struct lmn_cloud_client *client,
                                struct lmn_cbor_document *document,
                                const struct lmn_cbor_value **types);

/** Reads a type's name. */
bool lmn_cloud_parse_type_name(const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *node, char *name,
                               size_t size);

/** Reads a type's capacity, prices and zones; what the entry does not say keeps its
 * value. */
void lmn_cloud_parse_type(struct lmn_machine_type *type,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *node);

/** Returns machines to the cloud.
 * @param names at most LMN_CLOUD_MAX_RETURNED names; at least one
 * @return true: they are gone */
bool lmn_cloud_client_return(struct lmn_cloud_client *client, const GPtrArray *names);

/** Requests machines.
 * @param request_id the cloud carries out each id once, however often it is sent
 * @param names names of the machines that were rented are added
 * @param status set to the HTTP status, for the log */
enum lmn_cloud_rental_outcome
lmn_cloud_client_rent(struct lmn_cloud_client *client, const char *request_id,
                      const struct lmn_provision_request *request, GPtrArray *names,
                      int *status);

/** Reads a page of the machine list, after the machine of that name; empty: the first.
 * @param document points into the client's answer until the next call; freed by the
 * caller if true is returned
 * @param machines set to the page's entries, for lmn_cloud_parse_list_entry
 * @param has_more set to whether there is another page */
bool lmn_cloud_client_get_list(struct lmn_cloud_client *client, const char *after,
                               struct lmn_cbor_document *document,
                               const struct lmn_cbor_value **machines, bool *has_more);

/** Reads an entry of the machine list; false: it names no machine. */
bool lmn_cloud_parse_list_entry(struct lmn_cloud_list_entry *entry,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *node);

#endif
