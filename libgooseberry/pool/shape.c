/**
 * @file shape.c
 * Checks whether a submitted flow is valid.
 */
#include "state.h"

/** Maximum number of tasks of a step. */
#define STEP_TASKS_MAX 2000

/** Whether a step is valid; else fills in the error. */
static bool
step_check(const gb_step *step, uint32_t step_number, struct gb_error *err)
{
	uint32_t i;

	if (step->count == 0 || step->count > STEP_TASKS_MAX) {
		gb_error_set(err, GB_E_INVALID,
		    "step %u: count must be 1 to %d", step_number,
		    STEP_TASKS_MAX);
		return false;
	}
	if (step->res.cpu < 0 || step->res.mem < 0 || step->res.accel < 0) {
		gb_error_set(err, GB_E_INVALID,
		    "step %u: what a task needs must not be negative",
		    step_number);
		return false;
	}
	for (i = 0; i < step->after.after_len; i++) {
		if (step->after.after_val[i] >= step_number) {
			gb_error_set(err, GB_E_INVALID,
			    "step %u: may only come after earlier steps",
			    step_number);
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
		if (!step_check(&flow->steps.steps_val[i], i, err))
			return false;
	}
	if (pool_state_open_tasks_max(flow, GB_ATTEMPTS_MAX) == 0) {
		gb_error_set(err, GB_E_INVALID,
		    "the gangs have more tasks than can be stored");
		return false;
	}
	return true;
}
