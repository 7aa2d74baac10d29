// Package scenarios runs scripts against the real programs, started as
// processes on loopback, with stand-ins of the platform and of the upstreams.
//
// The scripts are in the folder scripts, in the language of testscript. The
// commands beside those of testscript are:
//
//	up NAME PROGRAM ARGS...      start a program and wait until it is ready
//	daemon NAME ROLE INSTANCE FAILURE-DOMAIN ARGS...
//	                             start a daemon with the settings that all have in
//	                             common; its link is added to $peers
//	confirm FILE CONTROLLERS     plan an intent, confirm it, and wait until every
//	                             live process has it
//	terminate NAME [STATUS]      SIGTERM, then the exit status must be STATUS (0)
//	crash NAME                   SIGKILL
//	freeze NAME, thaw NAME       SIGSTOP, SIGCONT
//	fault ADDRESS JSON           set the fault switches of a stand-in
//	notice ADDRESS JSON          let the cloud take instances
//	relay NAME TARGET            relay TCP and UDP on one port to TARGET
//	cut NAME, heal NAME          hold up and pass on what a relay gets
//	elapse DURATION              let time pass
//	await SECONDS COMMAND...     repeat a command until it succeeds
//	prints REGEXP PROGRAM ARGS...  run a program, whose output must match
//	exits STATUS PROGRAM ARGS... run a program, which must exit with STATUS;
//	                             0|5 allows two of them
//	callers NAME [flags]         start callers in the background
//	callers-check NAME [flags]   stop them and check what they were told
//	ran COUNT KEY [flags]        the upstreams must have run KEY so often
//	mark NAME                    note the time
//	idle-since MARK SECONDS ADDRESS...  engines must have got no new work since
//	dump-has ADDRESS PATH VALUE  a value in the dump of a process must be VALUE
//	logged NAME REGEXP           a line of a process's log must match
//
// `up` sets $NAME_FIELD for each field of the line or document with which the
// program says that it is ready. Each command may be negated with `!`. A
// process that is left at the end of a script is killed.
package scenarios
