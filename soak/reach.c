/**
 * @file reach.c
 * Cuts between nodes: which node's data doesn't reach which other node.
 */
#include "soak.h"

/** Number of active cuts, by the node that sends and the one that receives. */
static unsigned int cuts[SOAK_NODES_MAX][SOAK_NODES_MAX];

void
reach_cut(unsigned int from, unsigned int to)
{
	if (from != to)
		cuts[from][to]++;
}

void
reach_restore(unsigned int from, unsigned int to)
{
	if (from != to && cuts[from][to] > 0)
		cuts[from][to]--;
}

bool
reach_is_cut(unsigned int from, unsigned int to)
{
	return cuts[from][to] > 0;
}

bool
reach_is_isolated(unsigned int node)
{
	unsigned int cut_off = 0;
	unsigned int i;

	for (i = 0; i < soak.node_count; i++)
		cut_off += cuts[node][i] > 0 || cuts[i][node] > 0;
	return cut_off > 0 && 2 * cut_off >= soak.node_count - 1;
}
