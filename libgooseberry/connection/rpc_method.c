/**
 * @file rpc_method.c
 * Table of the remote procedures and the XDR coders of their messages.
 */
#include "gooseberry.h"

#define METHOD(num, label, in, out)                           \
	[num] = {num, label, (xdrproc_t)xdr_##in, sizeof(in), \
	    (xdrproc_t)xdr_##out, sizeof(out)}

/** Coder of the answer to a hello.  Older programs end the answer before the
 * field shed, config_source or forecast_ms, which then reads as 0, null or
 * empty. */
static bool_t
hello_res_code(XDR *xdrs, gb_hello_res *res)
{
	if (xdr_gb_hello_res(xdrs, res))
		return TRUE;
	return xdrs->x_op == XDR_DECODE && xdrs->x_handy == 0;
}

const struct gb_rpc_method gb_rpc_methods[GB_PROCS] = {
    METHOD(GB_PROC_TXN, "txn", gb_txn, gb_txn_res),
    METHOD(GB_PROC_SCAN, "scan", gb_scan, gb_scan_res),
    METHOD(GB_PROC_INSTANCES, "instances", gb_scan, gb_instance_list),
    METHOD(GB_PROC_SYNC, "sync", gb_sync, gb_sync_res),
    METHOD(GB_PROC_EXEC, "exec", gb_exec, gb_exec_res),
    METHOD(GB_PROC_BEAT, "beat", gb_beat, gb_beat),
    METHOD(GB_PROC_VIEW, "view", gb_beat, gb_view),
    METHOD(GB_PROC_REQUEST, "request", gb_request, gb_answer),
    METHOD(GB_PROC_COMMAND, "command", gb_command, gb_answer),
    METHOD(GB_PROC_FAULT, "fault", gb_command, gb_answer),
    METHOD(GB_PROC_LEND, "lend", gb_lend, gb_loan),
    METHOD(GB_PROC_FLOW_SUBMIT, "flow_submit", gb_flow_submit, gb_flow_answer),
    METHOD(GB_PROC_FLOW_ASK, "flow_ask", gb_flow_ask, gb_flow_answer),
    [GB_PROC_HELLO] = {GB_PROC_HELLO, "hello", (xdrproc_t)xdr_gb_hello,
	sizeof(gb_hello), (xdrproc_t)hello_res_code, sizeof(gb_hello_res)},
    METHOD(GB_PROC_ADVISE, "advise", gb_advice_ask, gb_advice_res),
    METHOD(GB_PROC_SUCCEED, "succeed", gb_takeover_request, gb_takeover_res),
    METHOD(GB_PROC_CONFIG, "config", gb_config_push, gb_config_push_res),
    METHOD(GB_PROC_CONFIG_FETCH, "config_fetch", gb_config_ask, gb_config_res),
};
