/* Digests of simulated histories: one hash over all that the parties of a scenario send
 * each other, in order, with the simulated times. Equal digests of two builds show that
 * they behaved equally. Only what is on the wire, keys, values and numbers that the
 * simulation gives out are hashed, so a change of names alone changes no digest.
 *
 * Nothing is computed unless the environment variable LMN_DIGEST names a file, to
 * which a line "PROGRAM SCENARIO SEED HASH MESSAGES" is appended for each scenario and
 * seed. If LMN_DIGEST_TRACE names a file too, a line "INDEX TIME KIND HASH" is appended
 * to it for each message, HASH covering all up to it; LMN_DIGEST_ONLY="SCENARIO SEED"
 * restricts the trace to one scenario and seed. */
#ifndef LMN_TESTS_DIGEST_H
#define LMN_TESTS_DIGEST_H

#include <glib.h>
#include <stdint.h>
#include <time.h>

/* Begins a digest, and ends the one before if a failed test has left it open. Blanks in
 * the scenario's name become underscores. */
void digest_begin(const char *program, const char *scenario, uint32_t seed);
/* Appends the digest's line; also called when the program exits. */
void digest_end(void);
/* Whether LMN_DIGEST names a file. */
gboolean digest_is_wanted(void);
/* Whether a digest has begun: what is costly to describe need not be otherwise. */
gboolean digest_is_open(void);

/* Begins a message; its fields follow. The kind may not contain blanks. */
void digest_message(const char *kind, struct timespec now);
void digest_bytes(const void *data, size_t size);
/* NULL differs from an empty array. */
void digest_array(const GByteArray *array);
/* NULL differs from an empty text. */
void digest_text(const char *text);
void digest_number(uint64_t number);
void digest_real(double number);

#endif
