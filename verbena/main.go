// Command verbena inspects configuration folders, running daemons and their logs.
// It is read-only.
//
// Exit status: 0 on success, 1 if it found a problem or a difference, 2 on a usage
// error.
package main

import (
	"os"

	"verbenabank/verbena/query/cmds"
)

func main() { os.Exit(int(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))) }
