/**
 * @file process.c
 * Child processes of the soak.
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
	/* Ends the child with the soak, also if the soak is killed. */
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
