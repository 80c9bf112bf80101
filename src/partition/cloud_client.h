/** @file
 * Client of the cloud's HTTP API: one function for each request, with typed results.
 *
 * It encodes the requests and decodes the responses. The provisioner decides when they
 * are sent. The client touches no shared state and needs no lock; each client belongs to
 * one thread. */
#ifndef LMN_PARTITION_CLOUD_CLIENT_H
#define LMN_PARTITION_CLOUD_CLIENT_H

#include "http/client.h"
#include "job/job_spec.h"
#include "protocol/cbor.h"
#include "scheduler/autoscaler.h"

/** The most machines that one call of lmn_cloud_client_return can return. */
enum { LMN_CLOUD_MAX_RETURNED = 100 };

/** A client of the cloud's API. */
struct lmn_cloud_client {
    struct lmn_http_client *http;
    GByteArray *response; /**< body of the last response */
};

/** The outcome of a request for machines. */
enum lmn_cloud_rental_outcome {
    LMN_CLOUD_RENTED, /**< some or all of the requested machines were rented */
    /** No machine was rented: there is no capacity, or the request is invalid. */
    LMN_CLOUD_REFUSED,
    /** No machine was rented yet: the request should be sent again under its id. */
    LMN_CLOUD_UNAVAILABLE,
    /** Machines may have been rented: to find out, the request has to be sent again under
     * its id. */
    LMN_CLOUD_UNKNOWN
};

/** A machine's entry in the cloud's list. */
struct lmn_cloud_list_entry {
    char name[LMN_NAME_SIZE], type[LMN_NAME_SIZE], zone[LMN_NAME_SIZE];
    bool has_type, has_zone, has_spot; /**< whether the entry has that field */
    bool is_spot, is_booting, is_broken;
    double age_s; /**< seconds since the machine was rented */
};

/** Makes a client of the API at `address`. A client is never freed: it lives as long as
 * its thread. */
struct lmn_cloud_client lmn_cloud_client_new(const char *address);

/** Requests the machine types.
 * @param document points into the client's response and is valid until the client's next
 * call; freed by the caller if true is returned
 * @param types set to the list of types, for lmn_cloud_parse_type
 * @return false: the request failed, or the response can't be parsed */
bool lmn_cloud_client_get_types(struct lmn_cloud_client *client,
                                struct lmn_cbor_document *document,
                                const struct lmn_cbor_value **types);

/** Reads a machine type's name.
 * @return false: the entry has none */
bool lmn_cloud_parse_type_name(const struct lmn_cbor_document *document,
                               const struct lmn_cbor_value *node, char *name,
                               size_t size);

/** Reads a machine type's capacity, prices and zones. Numbers that the entry does not
 * have keep their value. */
void lmn_cloud_parse_type(struct lmn_machine_type *type,
                          const struct lmn_cbor_document *document,
                          const struct lmn_cbor_value *node);

/** Returns machines to the cloud.
 * @param names 1 to LMN_CLOUD_MAX_RETURNED names
 * @return true: the cloud has terminated them */
bool lmn_cloud_client_return(struct lmn_cloud_client *client, const GPtrArray *names);

/** Requests machines.
 * @param request_id the cloud carries out the request once for each id, however often it
 * is sent
 * @param names the names of the rented machines are appended to it
 * @param status set to the HTTP status, for the log */
enum lmn_cloud_rental_outcome
lmn_cloud_client_rent(struct lmn_cloud_client *client, const char *request_id,
                      const struct lmn_provision_request *request, GPtrArray *names,
                      int *status);

/** Requests a page of the machine list.
 * @param after name of the last machine of the page before; empty: the first page
 * @param document points into the client's response and is valid until the client's next
 * call; freed by the caller if true is returned
 * @param machines set to the page's entries, for lmn_cloud_parse_list_entry
 * @param has_more set to whether there is another page
 * @return false: the request failed, or the response can't be parsed */
bool lmn_cloud_client_get_list(struct lmn_cloud_client *client, const char *after,
                               struct lmn_cbor_document *document,
                               const struct lmn_cbor_value **machines, bool *has_more);

/** Reads an entry of the machine list.
 * @return false: the entry has no machine name */
bool lmn_cloud_parse_list_entry(struct lmn_cloud_list_entry *entry,
                                const struct lmn_cbor_document *document,
                                const struct lmn_cbor_value *node);

#endif
