/**
 * @file
 * Processes and files of this machine: lock files that tell which process runs, starting
 * and reliably ending processes, files that are written whole or not at all. No shared
 * state; any thread may call these functions.
 *
 * A lock is a file lock (flock) of an open descriptor, which the kernel releases when the
 * process ends, however it ends. The file's text, the number of its holder, is only a
 * hint without the lock: numbers of processes are used again.
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
 * process's number there.
 * @param holder  if another process holds the lock: its number, or 0 if not known.
 * @return the descriptor, to be kept open; LMN_LOCK_HELD or LMN_LOCK_ERROR.
 */
int lmn_lock_file(const char *path, pid_t *holder);

/** Whether a process holds the lock. @param holder its number; 0 if not known. */
bool lmn_lock_held(const char *path, pid_t *holder);

/** Waits until nobody holds the lock. @return false if that takes longer than `seconds`.
 */
bool lmn_lock_wait(const char *path, double seconds);

/** Sends a signal to the lock's holder, and to no other process that has got the holder's
 * number meanwhile. @return false if nobody holds the lock or the signal can't be sent.
 */
bool lmn_lock_signal(const char *path, int signal_number);

/** The environment variable with the descriptor of a lock that a process was started
 * with. */
#define LMN_LOCK_FD "LEMONSPAR_LOCK_FD"

/** Keeps the descriptor named by LMN_LOCK_FD from being inherited, so that the lock ends
 * with this process and not with the last of its children. To be called before starting
 * any. */
void lmn_lock_set_close_on_exec(void);

/**
 * Starts a program detached: in a session of its own and as nobody's child.
 * @param arguments  the program's path and its arguments, NULL-terminated.
 * @param log        file that its standard output and error are appended to.
 * @param pid        receives its number; 0 if it could not be started.
 * @return 0, or the errno value of the failure.
 */
int lmn_spawn(char *const arguments[], const char *log, pid_t *pid);

/** Kills each process, this one excepted, whose environment contains the entry `mark`
 * ("NAME=value"). @return how many there were. */
unsigned lmn_kill_with_environment_entry(const char *mark);

/** Kills them until none is found twice in a row. @return false if some are still alive
 * after so many seconds. */
bool lmn_kill_all_with_environment_entry(const char *mark, double seconds);

/** Replaces a file's content durably: afterwards, also after a crash, the file has either
 * the new content or what it had before. @return 0, or -1 with errno: the old content,
 * or, if only the directory could not be synced, either of the two. */
int lmn_file_replace_durably(const char *path, const void *bytes, size_t len);

/** Removes a directory with all its content, without following links; no error if it
 * doesn't exist. @return 0, or -1 with errno. */
int lmn_tree_remove(const char *path);

/** @return the path of this program's file; a static string. */
const char *lmn_self_path(void);

#endif
