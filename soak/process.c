/**
 * @file process.c
 * Processes that the soak starts, and ends by their ids.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

pid_t
process_start(char *const argv[], const char *log)
{
	pid_t parent = getpid();
	pid_t pid = fork();
	int fd;

	if (pid != 0)
		return pid;
	/* Nothing that the soak started outlives it, also when it is killed. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(EXIT_FAILURE);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	execv(argv[0], argv);
	_exit(EXIT_FAILURE);
}

bool
process_ended(pid_t pid)
{
	return waitpid(pid, NULL, WNOHANG) == pid;
}
