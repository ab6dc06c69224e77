/**
 * @file service.c
 * Replicas of services: each shard runs its part of the replicas that the
 * documents declare.  They are derived from the documents and never logged.
 */
#include <string.h>

#include "core.h"

/** Number of a service's replicas that run in one shard: an equal part, with
 * the remainder in the first allowed shards. */
static uint32_t
service_replica_count(
    const struct gb_core *core, const struct gb_doc *doc, uint32_t shard)
{
	uint32_t allowed = 0;
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < core->shard_count; i++) {
		uint32_t dc = i / core->cfg.shards_per_dc;

		if (doc->dcs != 0 && (doc->dcs & (1u << dc)) == 0)
			continue;
		if (i == shard)
			rank = allowed + 1;
		allowed++;
	}
	if (rank == 0)
		return 0;
	return doc->replicas / allowed +
	       (rank <= doc->replicas % allowed ? 1 : 0);
}

/** Fill in the job that stands for a service's replicas in one shard.  It
 * borrows the document's strings. */
static void
service_spec(
    const struct gb_doc *doc, uint32_t shard, uint32_t tasks, gb_job_spec *spec)
{
	memset(spec, 0, sizeof(*spec));
	spec->team = (char *)(uintptr_t)doc->team;
	spec->name = (char *)(uintptr_t)doc->service;
	spec->service = (char *)(uintptr_t)doc->service;
	spec->pool = (char *)(uintptr_t)doc->pool;
	spec->band = doc->band;
	spec->idempotent = true;
	spec->tasks = tasks;
	spec->max_attempts = UINT32_MAX;
	spec->res = doc->res;
	spec->spread = doc->spread;
	spec->vers = doc->vers;
	spec->id = gb_hash_pair(doc->service, doc->team) + shard;
}

/** Change the number of a service's replicas in a shard.  A replica that is
 * removed is stopped and counts as foreign until its worker reports again. */
static void
service_resize(struct gb_core *core, struct shard *shard, struct job *job,
    const gb_job_spec *spec)
{
	uint32_t old = job->spec.tasks;
	uint32_t i;

	(void)shard;
	if (spec->tasks > old) {
		job->tasks =
		    gb_realloc(job->tasks, spec->tasks * sizeof(struct task));
		job->ready =
		    gb_realloc(job->ready, spec->tasks * sizeof(uint32_t));
		memset(job->tasks + old, 0,
		    (spec->tasks - old) * sizeof(struct task));
	}
	for (i = old; i < spec->tasks; i++)
		job->tasks[i].worker = GB_NONE;
	for (i = spec->tasks; i < old; i++) {
		struct worker *w = worker_get(core, job->tasks[i].worker);

		if (w != NULL) {
			worker_stop(w, job, i);
			job_task_release(core, job, i);
			gb_res_add(&w->foreign, &job->spec.res);
			worker_index(core, w);
		}
	}
	job->rolling = 0;
	if (spec->tasks < old) {
		uint32_t kept = 0;

		for (i = 0; i < job->ready_count; i++) {
			if (job->ready[i] < spec->tasks)
				job->ready[kept++] = job->ready[i];
		}
		job->ready_count = kept;
		if (kept == 0)
			job_dequeue(job);
	}
	job->spec.tasks = spec->tasks;
	for (i = old; i < spec->tasks; i++)
		job_task_ready(core, job, i);
}

/** Bring the replicas of one service in a shard in line with its document.
 * While the shard is not reconciled, new replicas are uncertain: a worker may
 * already run them for an earlier owner. */
static void
service_sync(
    struct gb_core *core, struct shard *shard, const struct gb_doc *doc)
{
	uint32_t count = service_replica_count(core, doc, shard->id);
	gb_job_spec spec;
	struct job *job;
	uint32_t i;

	service_spec(doc, shard->id, count, &spec);
	job = job_find(shard, spec.id);
	if (job == NULL) {
		if (count == 0)
			return;
		job = job_new(core, shard, &spec);
		job->derived = true;
		for (i = 0; i < count; i++) {
			if (shard->reconciled)
				job_task_ready(core, job, i);
			else
				job->tasks[i].state = TASK_UNCERTAIN;
		}
		return;
	}
	if (job->spec.tasks != count)
		service_resize(core, shard, job, &spec);
	job->spec.vers = spec.vers;
}

void
service_sync_all(struct gb_core *core, struct shard *shard)
{
	struct doc *doc;

	if (shard->services_config == core->config_seq + 1)
		return;
	shard->services_config = core->config_seq + 1;
	for (doc = core->docs; doc != NULL; doc = doc->hh.next) {
		if (doc->valid && doc->now.kind == GB_KIND_SERVICE)
			service_sync(core, shard, &doc->now);
	}
}

void
service_task_reported(
    struct gb_core *core, struct job *job, uint32_t index, uint64_t vers)
{
	if (job->rolling == index + 1 && vers == job->spec.vers)
		job->rolling = 0;
	if (vers == job->spec.vers || job->rolling != 0 || job->ready_count > 0)
		return;
	job->rolling = index + 1;
	job_task_stop(core, job, index);
}
