/**
 * @file fault.h
 * Kinds of faults, and the faults of a run.
 */
#ifndef SOAK_FAULT_H
#define SOAK_FAULT_H

#include "soak.h"

/** Nodes for which a fault is a cause of takeovers. */
enum fault_scope { SCOPE_NONE, SCOPE_NODE, SCOPE_ALL };

struct fault_pause;

/** One fault of a run. */
struct fault {
	const struct fault_kind *kind;
	gb_time at; /**< start */
	gb_time until;
	unsigned int node;	  /**< node that it affects, if it is of one */
	unsigned int worker;	  /**< worker that it affects, if it is of one;
				    else a random number */
	uint64_t random;	  /**< state of its own random numbers */
	unsigned int pause_count; /**< pauses that have begun */
	struct fault_pause *pauses; /**< by nodes, null until needed */
	bool changed; /**< the configuration was changed meanwhile */
	enum { FAULT_PENDING, FAULT_ACTIVE, FAULT_ENDED } state;
};

/** A kind of faults. */
struct fault_kind {
	const char *name;
	bool planned; /**< planned work, by which nothing may be lost */
	void (*begin)(struct fault *);
	void (*end)(struct fault *);  /**< null: it ends by itself */
	void (*step)(struct fault *); /**< called at each tick, or null */
	enum fault_scope scope;
	enum soak_cause cause;
	bool all_nodes; /**< one fault affects all nodes */
	/** Bounds of its duration, 0: those of most kinds. */
	unsigned int min_ms;
	unsigned int max_ms;
};

/* lasting.c: cuts between nodes, a store that rejects some, pauses, starvation.
 */

/** Silence all open connections between nodes. */
void peers_silence_begin(struct fault *);
/** Cut a node off from all others in both directions. */
void member_cut_begin(struct fault *);
/** Cut off all data to a node. */
void member_deaf_begin(struct fault *);
/** Cut off all data from a node. */
void member_mute_begin(struct fault *);
/** Cut the owner off from all others in both directions. */
void owner_cut_begin(struct fault *);
/** Cut two nodes off from each other. */
void pair_cut_begin(struct fault *);
/** Split the nodes into two groups that are cut off from each other. */
void members_split_begin(struct fault *);
/** Undo the cuts of a fault. */
void cut_end(struct fault *);
/** Let the store reject some of the nodes, among them the owner, and serve the
 * others. */
void store_rejects_begin(struct fault *);
/** Change the configuration once, and record causes for takeovers. */
void store_rejects_step(struct fault *);
/** Let the store serve all nodes again. */
void store_rejects_end(struct fault *);
/** Pause a node now and then. */
void node_paused_step(struct fault *);
/** Pause the current owner now and then. */
void owner_paused_step(struct fault *);
/** Pause now and then one node after the other. */
void all_paused_step(struct fault *);
/** Let a node run for short times only, with pauses between them. */
void node_starved_step(struct fault *);
/** Let all nodes run for short times only, with pauses between them. */
void all_starved_step(struct fault *);
/** Resume all nodes that a fault has paused. */
void pauses_end(struct fault *);

#endif
