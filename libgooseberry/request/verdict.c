/**
 * @file verdict.c
 * Verdicts: whether a request was run, and whether it may be retried.
 */
#include "gooseberry.h"

const char *
gb_verdict_name(gb_verdict verdict)
{
	switch (verdict) {
	case GB_NOT_RUN:
		return "not_run";
	case GB_MAYBE_RUN:
		return "may_have_run";
	case GB_RUN:
		return "ran";
	}
	return "may_have_run";
}

bool
gb_verdict_retryable(gb_verdict verdict, bool idempotent)
{
	if (verdict == GB_NOT_RUN)
		return true;
	return verdict == GB_MAYBE_RUN && idempotent;
}
