/* The keeper: a small process beside the agent that is the parent of all tasks, and
 * answers for their ends.
 *
 * It outlives the agent, and the agent it: if the agent is gone, or the lease that the
 * agent told it of is over (by the clock that goes on in sleep), it kills everything.
 * Whatever a task starts stays below the keeper (it is a subreaper), so that it finds all
 * of it, whatever sessions or groups were made. Only if the keeper itself is killed are
 * there processes without a keeper: those carry a mark in their environment, by which
 * lmn_executor_start's next call finds them.
 *
 * They talk CBOR over a socket pair, a message a packet. */
#ifndef LMN_WORKER_EXECUTOR_H
#define LMN_WORKER_EXECUTOR_H

#include "protocol/cbor.h"

#include <sys/types.h>
#include <time.h>

/* Starts a keeper for the machine whose files lie in dir, after ending all that an
 * earlier one may have left. Before any thread is started. The socket, or -1 with err.
 * mark: what the tasks carry in their environment, "NAME=value". */
int lmn_executor_start(const char *dir, const char *mark, char *err, size_t len);
/* Ends whatever still runs of the machine in dir: agent, keeper, tasks. False if
 * something lives on after so many seconds. */
bool lmn_executor_clear(const char *dir, const char *mark, double seconds);
/* The mark of the machine in dir. g_free. */
char *lmn_executor_mark(const char *dir);

/* --- messages to it --- */
/* Each returns a message; NULL-terminated argv and env ("NAME=value", beside what the
 * agent has). */
GByteArray *lmn_executor_encode_start(uint64_t id, char *const argv[], char *const env[],
                                      const char *cwd, uint64_t log_bytes);
GByteArray *lmn_executor_encode_save(uint64_t id, double grace_s);
GByteArray *lmn_executor_encode_kill(uint64_t id);
GByteArray *lmn_executor_encode_kill_all(void);
/* The lease holds until then, by CLOCK_BOOTTIME. */
GByteArray *lmn_executor_encode_lease(struct timespec at);

/* --- messages from it --- */
enum lmn_executor_event {
    LMN_EXECUTOR_EXITED, /* id, status (of waitpid): none of its processes is left */
    LMN_EXECUTOR_START_FAILED,  /* id: it could not be started; what: why */
    LMN_EXECUTOR_EMPTY,         /* after kill_all: nothing is left */
    LMN_EXECUTOR_LEASE_EXPIRED, /* the lease is over; nothing is left */
};
struct lmn_executor_event_message {
    enum lmn_executor_event event;
    uint64_t id;
    int status;
    char what[128];
};
/* 0, or -1 if it is none. */
int lmn_executor_event_decode(const void *bytes, size_t len,
                              struct lmn_executor_event_message *m);

#endif
