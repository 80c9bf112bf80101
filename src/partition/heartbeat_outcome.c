/* Names and HTTP statuses of heartbeat outcomes. The functions need no lock. */
#include "partition/heartbeat_outcome.h"

enum http_status {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_MISDIRECTED_REQUEST = 421,
    STATUS_SERVICE_UNAVAILABLE = 503
};

const char *lmn_heartbeat_outcome_name(enum lmn_heartbeat_outcome outcome)
{
    switch (outcome) {
    case LMN_HEARTBEAT_ACCEPTED:
        return "accepted";
    case LMN_HEARTBEAT_REDIRECTED:
        return "redirected";
    case LMN_HEARTBEAT_MALFORMED:
        return "malformed";
    case LMN_HEARTBEAT_STALLED:
        return "stalled";
    case LMN_HEARTBEAT_STALE_VIEW:
        return "stale-view";
    case LMN_HEARTBEAT_NO_OWNER:
        return "no-owner";
    case LMN_HEARTBEAT_NEWER_EPOCH:
        return "newer-epoch";
    case LMN_HEARTBEAT_RETURNED:
        return "returned";
    case LMN_HEARTBEAT_TERMINATED:
        return "terminated";
    case LMN_HEARTBEAT_OUT_OF_ORDER:
        return "out-of-order";
    case LMN_HEARTBEAT_LEASE_EXPIRED:
        return "lease-expired";
    }
    return "unknown";
}

int lmn_heartbeat_outcome_status(enum lmn_heartbeat_outcome outcome)
{
    switch (outcome) {
    case LMN_HEARTBEAT_ACCEPTED:
        return STATUS_OK;
    case LMN_HEARTBEAT_REDIRECTED:
        return STATUS_MISDIRECTED_REQUEST;
    case LMN_HEARTBEAT_MALFORMED:
        return STATUS_BAD_REQUEST;
    case LMN_HEARTBEAT_STALLED:
    case LMN_HEARTBEAT_STALE_VIEW:
    case LMN_HEARTBEAT_NO_OWNER:
    case LMN_HEARTBEAT_NEWER_EPOCH:
    case LMN_HEARTBEAT_RETURNED:
    case LMN_HEARTBEAT_TERMINATED:
    case LMN_HEARTBEAT_OUT_OF_ORDER:
    case LMN_HEARTBEAT_LEASE_EXPIRED:
        return STATUS_SERVICE_UNAVAILABLE;
    }
    return STATUS_SERVICE_UNAVAILABLE;
}
