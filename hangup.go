package main

/*
#include <signal.h>
#include <string.h>

// Runs before the Go runtime, whose start takes several milliseconds. The platform may send
// SIGHUP, which asks a node to read its settings, as soon as the process exists, and the
// default action would end the process. The node reads its settings at the start in any
// case, and handles the signal from then on.
__attribute__((constructor)) static void ignore_early_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "node") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
