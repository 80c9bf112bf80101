/* The messages between gateways of two sites, each framed by its length (RFC 4506 within a frame of four
 * bytes, big-endian). Every length is bounded here: what a peer sends can't make its reader allocate more
 * than a frame's worth. The host asks; the home answers. */
const LMN_GATEWAY_RPC_MAX_NAME = 63;
const LMN_GATEWAY_RPC_MAX_JOB_ID = 31;
const LMN_GATEWAY_RPC_MAX_ITEMS = 256;
const LMN_GATEWAY_RPC_MAX_OFFERS = 32;
const LMN_GATEWAY_RPC_MAX_SPEC_BYTES = 32768;
const LMN_GATEWAY_RPC_MAX_CRL_BYTES = 65536;
const LMN_GATEWAY_RPC_MAX_BLOB_BYTES = 4194304;

struct lmn_gateway_rpc_hello {
    string site<LMN_GATEWAY_RPC_MAX_NAME>;
    string gateway<LMN_GATEWAY_RPC_MAX_NAME>;
    unsigned int protocol;
    unsigned hyper incarnation; /* of the site's state */
    unsigned hyper serial;      /* rises with each hello of this gateway */
    opaque crl<LMN_GATEWAY_RPC_MAX_CRL_BYTES>;      /* the site's own list of revoked certificates, signed by its authority */
};

/* What one side says of a job: word is an enum lmn_handover_answer, or a command. */
struct lmn_gateway_rpc_item {
    string ref<LMN_GATEWAY_RPC_MAX_JOB_ID>;
    unsigned hyper epoch;
    unsigned hyper incarnation; /* of the host, as the home knows it, or as it is */
    int word;
    int outcome;
    unsigned int done;
    unsigned int running;
};

struct lmn_gateway_rpc_offer {
    string ref<LMN_GATEWAY_RPC_MAX_JOB_ID>;
    unsigned hyper epoch;
    unsigned hyper incarnation; /* of the host, as the home knows it */
    opaque spec<LMN_GATEWAY_RPC_MAX_SPEC_BYTES>;    /* the job's description, CBOR */
    string digest<64>;          /* of what its tasks run; empty: none */
    double leash_s;             /* 0: none */
};

struct lmn_gateway_rpc_sync {
    struct lmn_gateway_rpc_item says<LMN_GATEWAY_RPC_MAX_ITEMS>;
    double room_cpus; /* processors that are idle, and will be */
    double room_gpus;
    unsigned int most; /* jobs that it would take now; 0: it does not pull */
};

struct lmn_gateway_rpc_reply {
    struct lmn_gateway_rpc_item heard<LMN_GATEWAY_RPC_MAX_ITEMS>;   /* outcomes that the home has recorded */
    struct lmn_gateway_rpc_item resolve<LMN_GATEWAY_RPC_MAX_ITEMS>; /* offers whose answer it lacks */
    struct lmn_gateway_rpc_item cancel<LMN_GATEWAY_RPC_MAX_ITEMS>;  /* to be stopped; outcome: withdrawn, or returned */
    struct lmn_gateway_rpc_offer offers<LMN_GATEWAY_RPC_MAX_OFFERS>;
    double queued_cpu_s; /* work that waits at the home */
};

enum lmn_gateway_rpc_kind { LMN_GATEWAY_RPC_HELLO = 1, LMN_GATEWAY_RPC_SYNC = 2, LMN_GATEWAY_RPC_LOAD = 3, LMN_GATEWAY_RPC_BLOB = 4 };

union lmn_gateway_rpc_request switch (int kind) {
case LMN_GATEWAY_RPC_HELLO:
    lmn_gateway_rpc_hello hello;
case LMN_GATEWAY_RPC_SYNC:
    lmn_gateway_rpc_sync sync;
case LMN_GATEWAY_RPC_LOAD:
    void;
case LMN_GATEWAY_RPC_BLOB:
    string digest<64>;
default:
    void;
};

union lmn_gateway_rpc_response switch (int kind) {
case LMN_GATEWAY_RPC_HELLO:
    lmn_gateway_rpc_hello hello;
case LMN_GATEWAY_RPC_SYNC:
    lmn_gateway_rpc_reply reply;
case LMN_GATEWAY_RPC_LOAD:
    double queued_cpu_s;
case LMN_GATEWAY_RPC_BLOB:
    opaque blob<LMN_GATEWAY_RPC_MAX_BLOB_BYTES>;
default:
    string error<255>;
};
