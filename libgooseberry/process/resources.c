/**
 * @file resources.c
 * Arithmetic on amounts of resources.
 */
#include "gooseberry.h"

bool
gb_res_fits(const gb_res *need, const gb_res *free_res)
{
	return need->cpu <= free_res->cpu && need->mem <= free_res->mem &&
	       need->accel <= free_res->accel &&
	       need->slots <= free_res->slots && need->conns <= free_res->conns;
}

void
gb_res_add(gb_res *sum, const gb_res *res)
{
	sum->cpu += res->cpu;
	sum->mem += res->mem;
	sum->accel += res->accel;
	sum->slots += res->slots;
	sum->conns += res->conns;
}

void
gb_res_sub(gb_res *sum, const gb_res *res)
{
	sum->cpu -= res->cpu;
	sum->mem -= res->mem;
	sum->accel -= res->accel;
	sum->slots -= res->slots;
	sum->conns -= res->conns;
}
