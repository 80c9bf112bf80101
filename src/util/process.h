/* Processes and files of this machine: locks that say who runs, starting and surely
 * ending processes, files that are whole or not there. No shared state; any thread. */
#ifndef LMN_UTIL_PROCESS_H
#define LMN_UTIL_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

/* Locks the file for this process's life and writes its number there. The descriptor, or
 * -1 with the holder's number in *holder (0: not known), or -2 with errno. */
int lmn_lock_file(const char *path, pid_t *holder);
/* Whether some process holds the lock, and which. */
bool lmn_lock_held(const char *path, pid_t *holder);
/* Waits until nobody holds it; false if that takes longer. */
bool lmn_lock_wait(const char *path, double seconds);
/* Sends the signal to the lock's holder, and to no process that merely has its number
 * now. False if nobody holds it. */
bool lmn_lock_signal(const char *path, int sig);

/* Names the descriptor of a lock that a process was started with: the process keeps it to
 * itself by lmn_lock_keep, before it starts anything. */
#define LMN_LOCK_FD "LEMONSPAR_LOCK_FD"
void lmn_lock_keep(void);

/* Starts a program detached (its own session, not a child), standard output and error
 * appended to log. 0, or an errno value: the program could not be started. *pid: its
 * number. */
int lmn_spawn(char *const argv[], const char *log, pid_t *pid);

/* Kills every process but this one whose environment holds the text, once; how many there
 * were. */
unsigned lmn_kill_marked(const char *mark);
/* Until none is found twice in a row; false if some live on after so many seconds. */
bool lmn_kill_marked_all(const char *mark, double seconds);

/* Writes a file durably: afterwards it holds these bytes, or, if this failed (errno),
 * what it held. */
int lmn_file_put(const char *path, const void *bytes, size_t len);
/* Removes a directory with all that is in it; follows no links. 0 or -1 with errno. */
int lmn_tree_remove(const char *path);
/* This program's own file. */
const char *lmn_self_path(void);

#endif
