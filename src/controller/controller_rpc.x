/* What controllers and the administration client say to a controller: XDR over TCP, record
 * marked, as ONC RPC. */

const LMN_XDR_NAME = 64;
const LMN_XDR_TEXT = 65536;
const LMN_XDR_TUNINGS = 64;
const LMN_XDR_TEAMS = 4096; /* LMN_MAX_TEAMS */
const LMN_XDR_STATEMENTS = 8;
const LMN_XDR_IMAGE = 128;
const LMN_XDR_MACHINES = 64;
const LMN_XDR_ATTEMPTS = 4096;

struct lmn_tuning_item {
    string name<LMN_XDR_NAME>;
    double value;
};

struct lmn_tuning_list {
    lmn_tuning_item items<LMN_XDR_TUNINGS>;
};

struct lmn_reply {
    int code;                     /* 0: done */
    string text<LMN_XDR_TEXT>;    /* what was shown, or what is wrong */
};

struct lmn_set_request {
    string name<LMN_XDR_NAME>;
    double value;
};

struct lmn_machine_request {
    string machine<LMN_XDR_NAME>;
};

/* Room for which a partition finds no work of its own. */
struct lmn_xroom {
    string type<LMN_XDR_NAME>;
    string zone<LMN_XDR_NAME>;
    bool spot;
    double cpus;
    double gpus;
    double mem;
};

struct lmn_xteam {
    string name<LMN_XDR_NAME>;
    double cpus;
    double gpus;
};

struct lmn_xthief {
    int thief;             /* the partition that asks */
    int victim;            /* the partition that is asked */
    lmn_xroom rooms<LMN_XDR_TUNINGS>;
    lmn_xteam teams<LMN_XDR_TEAMS>;
};

/* A partition is short of a team's quota: by how much at best, and at least for one task. */
struct lmn_xquota {
    int thief;
    int victim;
    string team<LMN_XDR_NAME>;
    double cpus;
    double gpus;
    double least_cpus;
    double least_gpus;
};

/* A member's word of itself, in seconds; deaf: the part of its machines that it does not
 * hear. */
struct lmn_xword {
    double behind;
    double stale;
    double deaf;
};

/* What it says of another: ages in seconds, negative: never heard. */
struct lmn_xstatement {
    string of<LMN_XDR_NAME>;
    unsigned hyper incarnation;
    double heard;
    double unanswered;
    unsigned visitors;
};

/* Are you there, and what do you know of another (empty: nobody in particular)? */
struct lmn_xask {
    string from<LMN_XDR_NAME>;
    string about<LMN_XDR_NAME>;
    lmn_xword word;
    lmn_xstatement said<LMN_XDR_STATEMENTS>;
};

struct lmn_xanswer {
    lmn_xword word;
    lmn_xstatement said<LMN_XDR_STATEMENTS>;
};

/* What an owner tells its standby: an attempt that may be on a machine. */
struct lmn_xattempt {
    string ref<LMN_XDR_NAME>;
    unsigned index;
    unsigned hyper number;
    unsigned state;               /* 1: ended, 3: ended and done */
};

struct lmn_ximage {
    string name<LMN_XDR_IMAGE>;
    double gb;
    bool there;
};

/* A machine, whole; state 1: gone, 2: to be forgotten, 4: with its images. */
struct lmn_xmachine {
    string name<LMN_XDR_NAME>;
    unsigned hyper session;
    unsigned state;
    lmn_xattempt attempts<LMN_XDR_ATTEMPTS>;
    lmn_ximage images<LMN_XDR_TUNINGS>;
};

struct lmn_xbatch {
    int part;
    unsigned hyper term;
    unsigned hyper stream;
    unsigned hyper number;
    lmn_xmachine machines<LMN_XDR_MACHINES>;
};

/* Jobs whose withdrawal was committed, and told their users. */
struct lmn_xref {
    string ref<LMN_XDR_NAME>;
};

struct lmn_xtombstones {
    lmn_xref jobs<LMN_XDR_TUNINGS>;
};

program LMN_PROGRAM {
    version LMN_VERSION_1 {
        void LMN_PING(void) = 0;
        lmn_reply LMN_STATUS(void) = 1;
        lmn_tuning_list LMN_TUNING_GET(void) = 2;
        lmn_reply LMN_TUNING_SET(lmn_set_request) = 3;
        lmn_reply LMN_DRAIN(lmn_machine_request) = 4;
        unsigned LMN_LOAD(lmn_xthief) = 5;
        unsigned LMN_STEAL(lmn_xthief) = 6;
        unsigned LMN_STALENESS(void) = 7;      /* of the mirror, in milliseconds */
        unsigned LMN_QUOTA(lmn_xquota) = 8;    /* 1: something is on its way */
        lmn_xanswer LMN_ASK(lmn_xask) = 9;
        lmn_reply LMN_MEMBERS(unsigned) = 10;  /* 1: as JSON */
        unsigned LMN_FOLLOW(lmn_xbatch) = 11;  /* 0: taken, 1: unknown, 2: refused */
        lmn_reply LMN_LEAVE(unsigned) = 12;    /* 0: take part again, 1: leave */
        lmn_reply LMN_BALANCE(void) = 13;
        unsigned LMN_WITHDRAWN(lmn_xtombstones) = 14;  /* how many it did not know of */
    } = 1;
} = 0x2c0a5b41;
