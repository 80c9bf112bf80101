/* The messages between gateways of two sites, each framed by its length (RFC 4506 within a frame of four
 * bytes, big-endian). Every length is bounded here: what a peer sends can't make its reader allocate more
 * than a frame's worth. The host asks; the home answers. */
const LMN_G_NAME = 63;
const LMN_G_REF = 31;
const LMN_G_ITEMS = 256;
const LMN_G_OFFERS = 32;
const LMN_G_SPEC = 32768;
const LMN_G_CRL = 65536;
const LMN_G_BYTES = 4194304;

struct lmn_g_hello {
    string site<LMN_G_NAME>;
    string gateway<LMN_G_NAME>;
    unsigned int protocol;
    unsigned hyper incarnation; /* of the site's state */
    unsigned hyper serial;      /* rises with each hello of this gateway */
    opaque crl<LMN_G_CRL>;      /* the site's own list of revoked certificates, signed by its authority */
};

/* What one side says of a job: word is an enum lmn_answer, or a command. */
struct lmn_g_item {
    string ref<LMN_G_REF>;
    unsigned hyper epoch;
    unsigned hyper incarnation; /* of the host, as the home knows it, or as it is */
    int word;
    int outcome;
    unsigned int done;
    unsigned int running;
};

struct lmn_g_offer {
    string ref<LMN_G_REF>;
    unsigned hyper epoch;
    unsigned hyper incarnation; /* of the host, as the home knows it */
    opaque spec<LMN_G_SPEC>;    /* the job's description, CBOR */
    string digest<64>;          /* of what its tasks run; empty: none */
    double leash_s;             /* 0: none */
};

struct lmn_g_sync {
    struct lmn_g_item says<LMN_G_ITEMS>;
    double room_cpus; /* processors that are idle, and will be */
    double room_gpus;
    unsigned int most; /* jobs that it would take now; 0: it does not pull */
};

struct lmn_g_reply {
    struct lmn_g_item heard<LMN_G_ITEMS>;   /* outcomes that the home has recorded */
    struct lmn_g_item resolve<LMN_G_ITEMS>; /* offers whose answer it lacks */
    struct lmn_g_item cancel<LMN_G_ITEMS>;  /* to be stopped; outcome: withdrawn, or returned */
    struct lmn_g_offer offers<LMN_G_OFFERS>;
    double queued_cpu_s; /* work that waits at the home */
};

enum lmn_g_kind { LMN_G_HELLO = 1, LMN_G_SYNC = 2, LMN_G_LOAD = 3, LMN_G_BLOB = 4 };

union lmn_g_request switch (int kind) {
case LMN_G_HELLO:
    lmn_g_hello hello;
case LMN_G_SYNC:
    lmn_g_sync sync;
case LMN_G_LOAD:
    void;
case LMN_G_BLOB:
    string digest<64>;
default:
    void;
};

union lmn_g_response switch (int kind) {
case LMN_G_HELLO:
    lmn_g_hello hello;
case LMN_G_SYNC:
    lmn_g_reply reply;
case LMN_G_LOAD:
    double queued_cpu_s;
case LMN_G_BLOB:
    opaque blob<LMN_G_BYTES>;
default:
    string error<255>;
};
