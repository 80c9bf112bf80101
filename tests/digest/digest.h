/* Digests of simulated histories: one hash over all messages that the parts of a
 * simulation send each other, in order, with their simulated times. Equal digests show
 * that two builds behave equally. Hashed are only bytes on the wire, keys, values and
 * numbers of the simulation, so that renaming an identifier changes no digest; the
 * kinds of messages are hashed, too, and must keep their texts.
 *
 * Nothing is computed unless the environment variable LMN_DIGEST names a file, to
 * which a line "PROGRAM SCENARIO SEED HASH MESSAGES" is appended for each scenario and
 * seed. If LMN_DIGEST_TRACE names a file too, a line "INDEX TIME KIND HASH" is
 * appended to it for each message, where HASH covers all messages up to and including
 * this one; LMN_DIGEST_ONLY="SCENARIO SEED" restricts the trace to one scenario and
 * seed. */
#ifndef LMN_TESTS_DIGEST_H
#define LMN_TESTS_DIGEST_H

#include <glib.h>
#include <stdint.h>
#include <time.h>

/* Begins a digest, and ends the previous one if a failed test has left it open. Blanks
 * in the scenario's name become underscores. */
void digest_begin(const char *program, const char *scenario, uint32_t seed);
/* Appends the line of the digest; also called when the program exits. */
void digest_end(void);
/* Whether LMN_DIGEST names a file. */
gboolean digest_is_wanted(void);
/* Whether a digest is being computed; if not, callers may skip work that only serves
 * it. */
gboolean digest_is_open(void);

/* Begins a message; its fields follow. The kind may not contain blanks. */
void digest_message(const char *kind, struct timespec now);
void digest_bytes(const void *data, size_t size);
/* NULL and an empty array give different hashes. */
void digest_array(const GByteArray *array);
/* NULL and an empty text give different hashes. */
void digest_text(const char *text);
void digest_number(uint64_t number);
void digest_real(double number);

#endif
