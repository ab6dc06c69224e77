/**
 * @file soak.c
 * gooseberry-soak: starts the emulator and the nodes, acts as callers and
 * operator, injects faults drawn from a seed, and prints which guarantees were
 * violated.
 */
#include <argp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

#define TICK_MS 5
/** Offsets of ports from the first one.  The first port is that of the table
 * service, the next that of the advice service. */
#define PORT_CONTROL 2
#define PORT_WORKER 1000
#define PORT_WORKER_PROXY 1500
/** Time without faults before the final jobs. */
#define CALM_TIME (5 * GB_SEC)
/** Minimum time from the final jobs to the audit, enough to see whether the
 * pool is still taken over without a cause. */
#define FINAL_MIN (4 * GB_SEC)
/** Gap between two ticks from which the whole machine is taken to be stalled.
 */
#define STALL_GAP (400 * GB_MSEC)
/** Timeout for all jobs to settle before the audit. */
#define SETTLE_TIMEOUT (30 * GB_SEC)

struct soak soak = {.seed = 1,
    .seconds = 20,
    .node_count = 4,
    .worker_count = 16,
    .rate = 8,
    .port = 21000,
    .cancel_percent = 5,
    .build = "build"};

enum soak_phase { PHASE_FAULTS, PHASE_CALM, PHASE_FINAL, PHASE_AUDIT };

static enum soak_phase phase;
static gb_time phase_since;
static uint64_t random_state;

gb_time
soak_now(void)
{
	return gb_clock_boot() - soak.began;
}

unsigned int
soak_random(unsigned int below)
{
	return (unsigned int)(gb_random_next(&random_state) % below);
}

void
soak_violation(const char *fmt, ...)
{
	va_list ap;

	soak.violations++;
	printf("%6lld ms BROKEN: ", (long long)(soak_now() / GB_MSEC));
	va_start(ap, fmt);
	vprintf(fmt, ap);
	va_end(ap);
	printf("\n");
}

void
soak_answer_ignore(void *data, const struct plat_http_res *res)
{
	(void)data;
	(void)res;
}

void
soak_control(const char *fmt, ...)
{
	char path[128];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(path, sizeof(path), fmt, ap);
	va_end(ap);
	plat_http_call(soak.http, GB_TRAFFIC_CALLER, soak.control, "POST", path,
	    "", NULL, 0, 5 * GB_SEC, soak_answer_ignore, NULL);
}

/* Phases ------------------------------------------------------------------ */

static void
phase_set(enum soak_phase next)
{
	phase = next;
	phase_since = soak_now();
}

void
soak_end(int status)
{
	unsigned int i;

	for (i = 0; i < soak.node_count; i++)
		node_signal(&soak.nodes[i], SIGKILL);
	kill(soak.emulator, SIGKILL);
	/* The next run uses the same ports, which are free when they have all
	 * ended. */
	while (wait(NULL) > 0)
		continue;
	exit(status);
}

static void
finish(void)
{
	unsigned int takeovers = takeover_check();

	fault_report();
	caller_report();
	operator_report();
	printf("soak: seed=%llu nodes=%u workers=%u seconds=%u broken=%u "
	       "takeovers=%u logs=%s\n",
	    (unsigned long long)soak.seed, soak.node_count, soak.worker_count,
	    soak.seconds, soak.violations, takeovers, soak.dir);
	soak_end(soak.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

static void
phase_tick(void)
{
	gb_time age = soak_now() - phase_since;

	switch (phase) {
	case PHASE_FAULTS:
		fault_tick();
		if (age < soak.seconds * GB_SEC)
			return;
		fault_end_all();
		phase_set(PHASE_CALM);
		break;
	case PHASE_CALM:
		if (age < CALM_TIME)
			return;
		caller_final();
		phase_set(PHASE_FINAL);
		break;
	case PHASE_FINAL:
		if (age < SETTLE_TIMEOUT &&
		    (age < FINAL_MIN || !caller_settled()))
			return;
		phase_set(PHASE_AUDIT);
		caller_audit(finish);
		break;
	case PHASE_AUDIT:
		break;
	}
}

/** If the whole machine has stalled, record it as a cause for takeovers, since
 * the scheduler is not at fault for those. */
static void
stall_check(void)
{
	static gb_time last;
	gb_time now = soak_now();
	unsigned int i;

	if (last > 0 && now - last > STALL_GAP) {
		printf("%6lld ms the machine stalled for %lld ms\n",
		    (long long)(now / GB_MSEC),
		    (long long)((now - last) / GB_MSEC));
		for (i = 0; i < soak.node_count; i++)
			takeover_cause_add(i, CAUSE_DOWN);
		takeover_fault_add();
	}
	last = now;
}

static void
on_tick(uv_timer_t *timer)
{
	(void)timer;
	stall_check();
	proxy_tick();
	node_tick();
	takeover_tick();
	operator_tick();
	caller_tick(phase == PHASE_FAULTS);
	phase_tick();
}

/* Start ------------------------------------------------------------------- */

static void
emulator_start(void)
{
	char program[512];
	char log[512];
	char args[7][64];
	char *argv[] = {program, args[0], args[1], args[2], args[3], args[4],
	    args[5], args[6], NULL};

	snprintf(
	    program, sizeof(program), "%s/gooseberry-emulator", soak.build);
	snprintf(log, sizeof(log), "%s/emulator.log", soak.dir);
	snprintf(args[0], sizeof(args[0]), "--store=127.0.0.1:%u", soak.port);
	snprintf(
	    args[1], sizeof(args[1]), "--advice=127.0.0.1:%u", soak.port + 1);
	snprintf(args[2], sizeof(args[2]), "--control=127.0.0.1:%u",
	    soak.port + PORT_CONTROL);
	snprintf(args[3], sizeof(args[3]), "--workers=%u", soak.worker_count);
	snprintf(args[4], sizeof(args[4]), "--worker-port=%u",
	    soak.port + PORT_WORKER);
	snprintf(args[5], sizeof(args[5]), "--listed-port=%u",
	    soak.port + PORT_WORKER_PROXY);
	snprintf(args[6], sizeof(args[6]), "--seed=%llu",
	    (unsigned long long)soak.seed);
	soak.emulator = process_start(argv, log);
	snprintf(soak.control, sizeof(soak.control), "127.0.0.1:%u",
	    soak.port + PORT_CONTROL);
}

static void
processes_start(void)
{
	struct proxy **proxies;
	unsigned int i;

	emulator_start();
	proxies = gb_calloc(soak.worker_count, sizeof(struct proxy *));
	for (i = 0; i < soak.worker_count; i++)
		proxies[i] =
		    proxy_new(soak.loop, soak.port + PORT_WORKER_PROXY + i,
			soak.port + PORT_WORKER + i);
	soak.worker_proxies = proxies;
	soak.nodes = gb_calloc(soak.node_count, sizeof(*soak.nodes));
	for (i = 0; i < soak.node_count; i++) {
		soak.nodes[i].number = i;
		node_start(&soak.nodes[i]);
	}
}

static const struct argp_option option_table[] = {
    {"seed", 's', "N", 0, "Seed of faults and jobs (1)", 0},
    {"seconds", 't', "S", 0, "How long faults are injected (20)", 0},
    {"nodes", 'n', "N", 0, "Nodes (4), 100 at most", 0},
    {"workers", 'w', "N", 0, "Workers (16), 500 at most", 0},
    {"rate", 'r', "N", 0, "Jobs a second (8)", 0},
    {"port", 'p', "PORT", 0, "First of the 2,000 ports used (21000)", 0},
    {"build", 'b', "DIR", 0, "Where the programs are (build)", 0},
    {"kinds", 'k', "N", 0,
	"Draw the first N kinds of faults only, as older seeds did", 0},
    {"only", 'o', "NAMES", 0,
	"Draw these kinds of faults only, names with commas between", 0},
    {"storm", 'S', NULL, 0,
	"No draw: kinds that hit all nodes together, again and again", 0},
    {"planned", 'P', NULL, 0, "Planned work only", 0},
    {0},
};

static unsigned int
number_parse(const char *arg, unsigned int min, unsigned int max)
{
	unsigned long n = strtoul(arg, NULL, 10);

	if (n >= min && n <= max)
		return (unsigned int)n;
	fprintf(stderr, "soak: %s is not between %u and %u\n", arg, min, max);
	exit(EXIT_FAILURE);
}

static error_t
option_parse(int key, char *arg, struct argp_state *state)
{
	(void)state;
	switch (key) {
	case 's':
		soak.seed = strtoull(arg, NULL, 10);
		return 0;
	case 't':
		soak.seconds = number_parse(arg, 1, 3600);
		return 0;
	case 'n':
		soak.node_count = number_parse(arg, 1, SOAK_NODES_MAX);
		return 0;
	case 'w':
		soak.worker_count = number_parse(arg, 1, 500);
		return 0;
	case 'r':
		soak.rate = number_parse(arg, 1, 1000);
		return 0;
	case 'p':
		soak.port = number_parse(arg, 1024, 63000);
		return 0;
	case 'b':
		soak.build = arg;
		return 0;
	case 'k':
		soak.kinds = number_parse(arg, 1, 1000);
		return 0;
	case 'o':
		soak.only = arg;
		return 0;
	case 'S':
		soak.storm = true;
		return 0;
	case 'P':
		soak.planned_only = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {option_table, option_parse, NULL,
	    "Real programs under faults; a seed replays the same schedule.",
	    NULL, NULL, NULL};
	static uv_timer_t tick;

	signal(SIGPIPE, SIG_IGN);
	setlinebuf(stdout);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	random_state = soak.seed;
	snprintf(soak.dir, sizeof(soak.dir), "/tmp/gooseberry-soak-%llu-%d",
	    (unsigned long long)soak.seed, (int)getpid());
	mkdir(soak.dir, 0755);
	soak.loop = uv_default_loop();
	soak.http = plat_http_new(soak.loop, NULL);
	soak.began = gb_clock_boot();
	soak.unplanned = -CALM_TIME;
	fault_plan();
	takeover_fault_add(); /* there is no first owner yet */
	processes_start();
	usleep(300 * 1000); /* the emulator listens by then */
	operator_change();
	uv_timer_init(soak.loop, &tick);
	uv_timer_start(&tick, on_tick, 0, TICK_MS);
	uv_run(soak.loop, UV_RUN_DEFAULT);
	return EXIT_FAILURE;
}
