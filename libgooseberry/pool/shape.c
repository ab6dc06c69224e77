/**
 * @file shape.c
 * Whether a flow has a shape that can be served.
 */
#include "pool.h"

#define SHAPE_TASKS_MOST 2000

static bool
shape_step(const gb_step *step, uint32_t number, struct gb_error *err)
{
	uint32_t i;

	if (step->count == 0 || step->count > SHAPE_TASKS_MOST) {
		gb_error_set(err, GB_E_INVALID,
		    "step %u: count must be 1 to %d", number, SHAPE_TASKS_MOST);
		return false;
	}
	if (step->res.cpu < 0 || step->res.mem < 0 || step->res.accel < 0) {
		gb_error_set(err, GB_E_INVALID,
		    "step %u: what a task needs must not be negative", number);
		return false;
	}
	for (i = 0; i < step->after.after_len; i++) {
		if (step->after.after_val[i] >= number) {
			gb_error_set(err, GB_E_INVALID,
			    "step %u: may only come after earlier steps",
			    number);
			return false;
		}
	}
	return true;
}

bool
gb_flow_check(const gb_flow *flow, struct gb_error *err)
{
	uint32_t i;

	if (flow->steps.steps_len == 0 ||
	    flow->steps.steps_len > GB_STEPS_MAX) {
		gb_error_set(err, GB_E_INVALID, "steps: 1 to %d", GB_STEPS_MAX);
		return false;
	}
	for (i = 0; i < flow->steps.steps_len; i++) {
		if (!shape_step(&flow->steps.steps_val[i], i, err))
			return false;
	}
	return true;
}
