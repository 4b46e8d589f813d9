// Command verbena answers operators' questions about configuration folders and
// running daemons. It changes nothing.
//
// It exits with 0 if all is well, with 1 if it found a problem or a difference,
// and with 2 if it was called wrongly.
package main

import (
	"os"

	"verbenabank/verbena/query/cmds"
)

func main() { os.Exit(int(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))) }
