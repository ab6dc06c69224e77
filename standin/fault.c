/**
 * @file fault.c
 * gooseberry-standin-fault: sets faults of a stand-in program and prints its
 * counters.  Usage: gooseberry-standin-fault IP:PORT JSON
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

static int status = EXIT_FAILURE;

static void
fault_done(void *data, gb_verdict verdict, void *res)
{
	const gb_answer *answer = res;

	(void)data;
	if (verdict == GB_RUN && answer != NULL) {
		printf("%.*s", (int)answer->body.gb_body_len,
		    answer->body.gb_body_val);
		status = EXIT_SUCCESS;
	}
	exit(status);
}

int
main(int argc, char **argv)
{
	static const struct gb_env env = {gb_logger_line, NULL, NULL, NULL};
	gb_command cmd = {.team = "", .name = "", .author = ""};
	struct gb_rpc_client *client;
	uv_loop_t loop;

	if (argc != 3) {
		fprintf(stderr, "usage: %s IP:PORT JSON\n", argv[0]);
		return EXIT_FAILURE;
	}
	uv_loop_init(&loop);
	client = gb_rpc_client_new(&loop, &env, argv[1]);
	cmd.verb = GB_VERB_STATUS;
	cmd.body.gb_body_val = argv[2];
	cmd.body.gb_body_len = (u_int)strlen(argv[2]);
	gb_rpc_client_call(
	    client, GB_PROC_FAULT, &cmd, GB_SEC, fault_done, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return status;
}
