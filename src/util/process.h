/**
 * @file
 * Processes and files of this machine: lock files that show which process is running,
 * starting and reliably killing processes, atomic replacement of files. No shared state;
 * any thread may call these functions.
 *
 * A lock is a file lock (flock) of an open descriptor, which the kernel releases when the
 * process ends, also after a crash. The file contains the process id of the holder, which
 * is only valid while the lock is held: the kernel reuses process ids.
 */
#ifndef LMN_UTIL_PROCESS_H
#define LMN_UTIL_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

/** What lmn_lock_file() returns instead of a descriptor. */
enum {
    LMN_LOCK_HELD = -1,  /**< another process holds the lock */
    LMN_LOCK_ERROR = -2, /**< the file can't be opened or written; errno says why */
};

/**
 * Locks a file, which is created if needed, for the life of this process and writes the
 * process id to it.
 * @param holder  if another process holds the lock: its process id, or 0 if not known.
 * @return the descriptor, to be kept open; LMN_LOCK_HELD or LMN_LOCK_ERROR.
 */
int lmn_lock_file(const char *path, pid_t *holder);

/** Whether a process holds the lock. @param holder receives its process id; 0 if not
 * known. */
bool lmn_lock_held(const char *path, pid_t *holder);

/** Waits until no process holds the lock. @return false if that takes longer than
 * `seconds`.
 */
bool lmn_lock_wait(const char *path, double seconds);

/** Sends a signal to the lock's holder, and never to another process that has got the
 * holder's process id after the holder ended. @return false if no process holds the lock
 * or the signal can't be sent. */
bool lmn_lock_signal(const char *path, int signal_number);

/** Environment variable with the number of the descriptor of a lock that a process
 * inherited from the process that started it. */
#define LMN_LOCK_FD "LEMONSPAR_LOCK_FD"

/** Sets close-on-exec on the descriptor named by LMN_LOCK_FD, so that the lock ends with
 * this process and not with the last of its children. Must be called before any child is
 * started. */
void lmn_lock_set_close_on_exec(void);

/**
 * Starts a program detached: in a session of its own, adopted by init.
 * @param arguments  the program's path and its arguments, NULL-terminated.
 * @param log        file that its standard output and error are appended to.
 * @param pid        receives its process id; 0 if it could not be started.
 * @return 0, or the errno value of the failure.
 */
int lmn_spawn_detached(char *const arguments[], const char *log, pid_t *pid);

/** Kills each process, except this one, whose environment contains the entry
 * ("NAME=value"). @return the number of processes found. */
unsigned lmn_kill_with_environment_entry(const char *entry);

/** Repeats lmn_kill_with_environment_entry() until it finds no process twice in a row.
 * @return false if it still finds processes after `timeout_s` seconds. */
bool lmn_kill_all_with_environment_entry(const char *entry, double timeout_s);

/** Replaces a file's content durably: after a crash at any time the file has either the
 * new content or the old one. @return 0, or -1 with errno: the file has the old content
 * or, if only its directory could not be synced, may have either. */
int lmn_file_replace_durably(const char *path, const void *bytes, size_t len);

/** Removes a directory with all its content, without following links; no error if it
 * doesn't exist. @return 0, or -1 with errno. */
int lmn_tree_remove(const char *path);

/** @return the path of this program's file; a static string. */
const char *lmn_self_path(void);

#endif
